//! A limit on calls a second.

use std::time::Instant;

/// A token bucket that holds one second's worth of calls.
#[derive(Debug)]
pub(super) struct RateLimit {
    rate: Option<f64>,
    // Invariant: between zero and `rate`.
    tokens: f64,
    filled: Instant,
}

impl RateLimit {
    /// Lets through `rate` calls a second; all of them where it is none.
    pub(super) fn new(rate: Option<u32>) -> Self {
        let rate = rate.map(f64::from);
        Self { rate, tokens: rate.unwrap_or_default(), filled: Instant::now() }
    }

    /// Whether another call is let through now.
    pub(super) fn take(&mut self) -> bool {
        let Some(rate) = self.rate else { return true };
        let now = Instant::now();
        let gained = now.duration_since(self.filled).as_secs_f64() * rate;
        self.filled = now;
        self.tokens = (self.tokens + gained).min(rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
