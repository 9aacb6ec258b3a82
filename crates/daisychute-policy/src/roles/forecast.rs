//! Level, trend and recent peak of one demand.

/// Follows a demand by double exponential smoothing (Holt, 1957) and remembers its recent peak.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Forecast {
    level: f64,
    // Change of the level, for each second.
    trend: f64,
    peak: f64,
    seen: bool,
}

impl Forecast {
    const LEVEL_GAIN: f64 = 0.25;
    const TREND_GAIN: f64 = 0.05;
    /// A forecast stays within this multiple of the level.
    const MAX_GROWTH: f64 = 1.5;

    /// Takes in the demand over the last `seconds`; the peak falls by a factor of e in `memory` seconds.
    pub(super) fn add(&mut self, value: f64, seconds: f64, memory: f64) {
        if !self.seen {
            *self = Self { level: value, trend: 0.0, peak: value, seen: true };
            return;
        }
        let before = self.level;
        let expected = self.level + self.trend * seconds;
        self.level = (expected + Self::LEVEL_GAIN * (value - expected)).max(0.0);
        let slope = (self.level - before) / seconds;
        self.trend += Self::TREND_GAIN * (slope - self.trend);
        self.peak = (self.peak * (-seconds / memory).exp()).max(self.level);
    }

    pub(super) fn level(&self) -> f64 {
        self.level
    }

    /// The demand so many seconds from now.
    pub(super) fn at(&self, seconds: f64) -> f64 {
        (self.level + self.trend * seconds).clamp(0.0, self.level * Self::MAX_GROWTH)
    }

    /// The greatest level lately.
    pub(super) fn peak(&self) -> f64 {
        self.peak
    }
}
