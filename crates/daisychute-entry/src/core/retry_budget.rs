//! Limits how often failed requests are retried.

/// Token bucket that allows retries in proportion to successful requests, so that a fault can't multiply the load.
///
/// Retry budgets are described in "Handling Overload" of "Site Reliability Engineering" (Beyer et al.,
/// 2016).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    // Invariant: 0 <= tokens <= MAX_SAVED_RETRIES. One token is one retry.
    tokens: f64,
}

impl RetryBudget {
    /// Maximum number of retries that can accumulate.
    pub const MAX_SAVED_RETRIES: f64 = 50.0;
    /// Retries added by one successful request.
    pub const RETRIES_PER_SUCCESS: f64 = 0.1;
    /// Retries available to a new process.
    pub const INITIAL_RETRIES: f64 = 10.0;

    /// Adds the share of a retry that a successful request earns.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + Self::RETRIES_PER_SUCCESS).min(Self::MAX_SAVED_RETRIES);
    }

    /// Consumes one retry. Returns false if less than one is available.
    #[must_use]
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Self::INITIAL_RETRIES }
    }
}
