//! The smoothed level and the recent peak of a demand.

/// Smooths a demand exponentially and remembers its recent peak.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Forecast {
    level: f64,
    peak: f64,
    // Whether there was an observation.
    is_initialized: bool,
}

impl Forecast {
    /// Weight of one observation in the level.
    const GAIN: f64 = 0.25;

    /// Adds the demand of the last `seconds`. The peak decays by a factor of e in `memory` seconds.
    pub(super) fn add(&mut self, value: f64, seconds: f64, memory: f64) {
        if !self.is_initialized {
            *self = Self { level: value, peak: value, is_initialized: true };
            return;
        }
        self.level += Self::GAIN * (value - self.level);
        self.peak = (self.peak * (-seconds / memory).exp()).max(self.level);
    }

    /// The smoothed demand.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// The highest recent level, decayed by its age.
    pub(super) fn peak(&self) -> f64 {
        self.peak
    }
}
