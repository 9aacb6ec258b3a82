//! How much of the predicted waiting time requests really wait.

use std::time::Duration;

/// Ratio of measured to predicted waiting times, over recent requests.
///
/// Engines generate outputs and prefill several prompts in one step, and prompts that were reported as pending may be
/// done already, so that a request waits for less than the sum of all work ahead of it. How much less differs by the
/// kind of engine.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_dispatch::WaitFactor;
///
/// let mut factor = WaitFactor::default();
/// assert_eq!(factor.get(), 1.0);
/// for _ in 0..200 {
///     factor.learn(Duration::from_millis(100), Duration::from_millis(40));
/// }
/// assert!((factor.get() - 0.4).abs() < 0.05);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitFactor {
    /// Sum of the predicted waiting times, in ms; earlier ones count less. Positive.
    predicted_ms: f64,
    /// Sum of the measured waiting times, in ms, with the same weights.
    measured_ms: f64,
}

impl WaitFactor {
    /// Weight of the prior, a factor of 1, in ms of waiting time.
    const PRIOR_MS: f64 = 1_000.0;
    /// Factor by which the weight of earlier requests falls with each new one: about the last hundred count.
    const FORGETTING: f64 = 0.99;
    /// Shorter predicted waits say nothing about the factor.
    const MIN_WAIT: Duration = Duration::from_millis(10);
    /// Longer measured waits count as this one: their requests may have met a fault.
    const MAX_WAIT: Duration = Duration::from_millis(1_000);
    /// Limits of the factor.
    const RANGE: (f64, f64) = (0.25, 1.5);

    /// Adds a request that waited for `measured` where `predicted` was expected, without the factor.
    pub fn learn(&mut self, predicted: Duration, measured: Duration) {
        if predicted < Self::MIN_WAIT {
            return;
        }
        let ms = |it: Duration| it.min(Self::MAX_WAIT).as_secs_f64() * 1e3;
        self.predicted_ms = self.predicted_ms * Self::FORGETTING + ms(predicted);
        self.measured_ms = self.measured_ms * Self::FORGETTING + ms(measured);
    }

    /// Returns the factor by which predicted waiting times are multiplied.
    #[must_use]
    pub fn get(&self) -> f64 {
        (self.measured_ms / self.predicted_ms).clamp(Self::RANGE.0, Self::RANGE.1)
    }
}

impl Default for WaitFactor {
    fn default() -> Self {
        Self { predicted_ms: Self::PRIOR_MS, measured_ms: Self::PRIOR_MS }
    }
}
