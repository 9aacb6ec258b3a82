//! Level and recent peak of one demand.

/// Follows a demand by exponential smoothing and remembers its recent peak.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Forecast {
    level: f64,
    peak: f64,
    seen: bool,
}

impl Forecast {
    const GAIN: f64 = 0.25;

    /// Takes in the demand over the last `seconds`; the peak falls by a factor of e in `memory` seconds.
    pub(super) fn add(&mut self, value: f64, seconds: f64, memory: f64) {
        if !self.seen {
            *self = Self { level: value, peak: value, seen: true };
            return;
        }
        self.level += Self::GAIN * (value - self.level);
        self.peak = (self.peak * (-seconds / memory).exp()).max(self.level);
    }

    /// The demand of late.
    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// The greatest level of late.
    pub(super) fn peak(&self) -> f64 {
        self.peak
    }
}
