//! A bound on repeated work.

/// Allows retries as a share of recent successes, so that a fault can't multiply the load.
///
/// The idea of a retry budget is described in "Handling Overload" of "Site Reliability Engineering" (Beyer et al.,
/// 2016).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    // Invariant: 0 <= tokens <= CAPACITY.
    tokens: f64,
}

impl RetryBudget {
    /// The most retries that may be saved up.
    pub const CAPACITY: f64 = 50.0;
    /// Retries that one success allows.
    pub const SHARE: f64 = 0.1;
    /// Retries that a new process may make.
    pub const INITIAL: f64 = 10.0;

    /// A request was answered.
    pub fn success(&mut self) {
        self.tokens = (self.tokens + Self::SHARE).min(Self::CAPACITY);
    }

    /// Takes one retry; false if there is none.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: Self::INITIAL }
    }
}
