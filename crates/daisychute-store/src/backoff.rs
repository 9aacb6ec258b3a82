//! Jittered exponential backoff.

use std::time::Duration;

use rand::Rng;

/// The delays between the attempts at something that fails.
///
/// Each delay is drawn evenly from half of the present bound to the whole of it, and the bound doubles with each
/// attempt. The lower half keeps a burst of failures from turning into immediate retries; the drawn half keeps
/// processes that failed together from coming back together ("equal jitter", M. Brooker, *Exponential Backoff and
/// Jitter*, 2015).
#[derive(Debug, Clone)]
pub struct Backoff {
    first: Duration,
    // Invariant: no smaller than `first`.
    longest: Duration,
    attempts: u32,
}

impl Backoff {
    /// A backoff whose bound goes from `first` to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self { first, longest: longest.max(first), attempts: 0 }
    }

    /// The delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.attempts).unwrap_or(u32::MAX);
        let bound = self.first.saturating_mul(factor).min(self.longest);
        self.attempts = (self.attempts + 1).min(u32::BITS);
        jitter(bound, rng)
    }

    /// Starts again from the first bound.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }

    /// How many delays were drawn since the last reset.
    #[must_use]
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}

/// A span drawn evenly from half of `bound` to the whole of it.
pub(crate) fn jitter(bound: Duration, rng: &mut impl Rng) -> Duration {
    let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
    let half = micros / 2;
    Duration::from_micros(half + rng.next_u64() % (micros - half + 1))
}
