//! Rate at which this front sends prefill work.

use daisychute_core::Time;

/// Exponentially weighted rate of the prefill work that this front sends to the engines of one kind.
///
/// ```
/// use daisychute_core::Time;
/// use daisychute_dispatch::WorkRate;
///
/// let mut rate = WorkRate::default();
/// for ms in 0..10_000 {
///     if ms % 100 == 0 {
///         rate.add(Time::from_millis(ms), 40.0);
///     }
/// }
/// assert!((rate.get(Time::from_millis(10_000)) - 0.4).abs() < 0.04);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkRate {
    /// Rate at `updated`, in ms of prefill per ms; at least 0.
    rate: f64,
    updated: Time,
}

impl WorkRate {
    /// Time after which the weight of work falls to 1/e, in ms: a few requests of a small front, and less than the
    /// time for which the rates of prompts stay the same.
    const MEMORY_MS: f64 = 1_500.0;

    /// Adds a prompt that takes its engine so many ms.
    pub fn add(&mut self, now: Time, ms: f64) {
        self.rate = self.get(now) + ms / Self::MEMORY_MS;
        self.updated = now;
    }

    /// Returns the rate, in ms of prefill per ms.
    #[must_use]
    pub fn get(&self, now: Time) -> f64 {
        let age_ms = now.since(self.updated).as_secs_f64() * 1e3;
        self.rate * (-age_ms / Self::MEMORY_MS).exp()
    }
}
