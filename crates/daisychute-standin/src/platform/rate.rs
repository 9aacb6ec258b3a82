//! Rate limit for calls.

use std::time::Instant;

/// Token bucket with a capacity of one second's worth of calls.
#[derive(Debug)]
pub(super) struct RateLimit {
    /// Calls per second; `None` for no limit.
    rate: Option<f64>,
    // Invariant: between zero and `rate`.
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    /// Permits `rate` calls per second, or any number if `None`.
    pub(super) fn new(rate: Option<u32>) -> Self {
        let rate = rate.map(f64::from);
        Self { rate, tokens: rate.unwrap_or_default(), refilled_at: Instant::now() }
    }

    /// Takes a token for one call. Returns whether there was one.
    pub(super) fn try_acquire(&mut self) -> bool {
        let Some(rate) = self.rate else { return true };
        let now = Instant::now();
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.refilled_at = now;
        self.tokens = (self.tokens + gained).min(rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
