//! A moving mean that outliers move little.

/// An exponentially weighted mean of positive observations with a clipped influence of each.
#[derive(Debug, Clone)]
pub struct RobustMean {
    mean: f64,
    seen: u32,
    // Observations in a row that were far from the mean on the same side; negative for the low side.
    run: i32,
}

impl RobustMean {
    /// Weight of one observation once enough were seen.
    const GAIN: f64 = 0.05;
    /// An observation counts as at most this multiple of the mean, and at least its inverse.
    const CLIP: f64 = 3.0;
    /// An observation beyond this multiple of the mean, or below its inverse, is far from it.
    const FAR: f64 = 1.6;
    /// So many far observations in a row on one side are a change of level and not outliers.
    const LEVEL_RUN: i32 = 8;

    /// A mean that starts at `prior`, which must be positive.
    #[must_use]
    pub fn new(prior: f64) -> Self {
        Self { mean: prior, seen: 0, run: 0 }
    }

    /// Takes an observation in. One that is not positive and finite is passed over.
    pub fn add(&mut self, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            return;
        }
        self.count_run(value);
        if self.run.abs() >= Self::LEVEL_RUN {
            *self = Self { mean: value, seen: 1, run: 0 };
            return;
        }
        let clipped = value.clamp(self.mean / Self::CLIP, self.mean * Self::CLIP);
        let gain = Self::GAIN.max(1.0 / f64::from(self.seen + 2));
        self.mean += gain * (clipped - self.mean);
        self.seen = self.seen.saturating_add(1).min(1_000);
    }

    /// The mean.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.mean
    }

    fn count_run(&mut self, value: f64) {
        self.run = if value > self.mean * Self::FAR {
            self.run.max(0) + 1
        } else if value < self.mean / Self::FAR {
            self.run.min(0) - 1
        } else {
            0
        };
    }
}
