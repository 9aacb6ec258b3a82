//! How much later than predicted first outputs were lately.

use std::time::Duration;

use daisychute_core::Time;

/// Exponentially weighted mean of the delays of recent first outputs, beyond their predictions. It decays with time.
///
/// Fronts choose engines by loads that are some milliseconds old. The more fronts there are, the more of them choose
/// the same idle engine before they hear of each other, so that requests wait where no wait was predicted. The mean
/// decays, so that engines which are avoided for it are tried again.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_dispatch::RecentDelay;
///
/// let mut delay = RecentDelay::default();
/// delay.learn(Time::ZERO, Duration::from_millis(50), Duration::from_millis(150));
/// assert_eq!(delay.ms(Time::ZERO), 20.0);
/// assert_eq!(delay.ms(Time::from_millis(1_000)), 10.0);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RecentDelay {
    /// Mean at `updated`, in ms; at least 0.
    mean_ms: f64,
    updated: Time,
}

impl RecentDelay {
    /// Weight of one delay in the mean.
    const GAIN: f64 = 0.2;
    /// Time in which the mean halves, in s: about as long as a burst of long prompts.
    const HALF_LIFE_S: f64 = 1.0;
    /// Longer delays count as this one, in ms: their requests may have met a fault.
    const MAX_DELAY_MS: f64 = 1_000.0;

    /// Adds a first output that took this long. One that came earlier than predicted counts as not delayed.
    pub fn learn(&mut self, now: Time, predicted: Duration, took: Duration) {
        let delay_ms = took.saturating_sub(predicted).as_secs_f64() * 1e3;
        let mean_ms = self.ms(now);
        self.mean_ms = mean_ms + Self::GAIN * (delay_ms.min(Self::MAX_DELAY_MS) - mean_ms);
        self.updated = now;
    }

    /// Returns the mean, in ms.
    #[must_use]
    pub fn ms(&self, now: Time) -> f64 {
        let age_s = now.since(self.updated).as_secs_f64();
        self.mean_ms * 0.5_f64.powf(age_s / Self::HALF_LIFE_S)
    }
}
