//! Jittered exponential backoff.

use std::time::Duration;

use rand::Rng;

/// Delays between retries of a failing operation.
///
/// Each delay is drawn uniformly between half of the current bound and the bound, which doubles with each attempt. The
/// lower half prevents immediate retries after a burst of failures; the random half spreads the retries of processes
/// that failed at the same time ("equal jitter", M. Brooker, *Exponential Backoff and Jitter*, 2015).
#[derive(Debug, Clone)]
pub struct Backoff {
    initial_bound: Duration,
    // Invariant: at least `initial_bound`.
    max_bound: Duration,
    attempts: u32,
}

impl Backoff {
    /// A backoff whose bound doubles from `initial_bound` up to `max_bound`.
    #[must_use]
    pub fn new(initial_bound: Duration, max_bound: Duration) -> Self {
        Self { initial_bound, max_bound: max_bound.max(initial_bound), attempts: 0 }
    }

    /// Draws the delay before the next attempt and doubles the bound.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        let bound = self.initial_bound.saturating_mul(factor).min(self.max_bound);
        self.attempts = (self.attempts + 1).min(u32::BITS);
        jitter(bound, rng)
    }

    /// Returns to the initial bound, after an attempt succeeded.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }

    /// Number of delays drawn since the last reset, at most 32.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}

/// A duration drawn uniformly between half of `bound` and `bound`.
pub(crate) fn jitter(bound: Duration, rng: &mut impl Rng) -> Duration {
    let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    let half = micros / 2;
    Duration::from_micros(half + rng.next_u64() % (micros - half + 1))
}
