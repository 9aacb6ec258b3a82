//! A moving mean that is robust to outliers.

/// An exponentially weighted moving mean of positive observations, each with a clipped influence.
#[derive(Debug, Clone)]
pub struct RobustMean {
    mean: f64,
    // Number of observations since the start or the last level shift, at most 1,000.
    observations: u32,
    // Consecutive observations that were far from the mean on the same side; negative for the low side.
    far_run: i32,
}

impl RobustMean {
    /// Weight of one observation in the long run; the first ones weigh more.
    const MIN_GAIN: f64 = 0.05;
    /// Observations are clipped to between the mean divided by this factor and the mean times this factor.
    const CLIP_FACTOR: f64 = 3.0;
    /// An observation is far from the mean if it differs from it by more than this factor.
    const FAR_FACTOR: f64 = 1.6;
    /// Consecutive far observations on one side that indicate a changed level rather than outliers.
    const LEVEL_SHIFT_RUN: i32 = 8;

    /// Creates a mean that starts at `prior`, which must be positive.
    #[must_use]
    pub fn new(prior: f64) -> Self {
        Self { mean: prior, observations: 0, far_run: 0 }
    }

    /// Adds an observation. Values that aren't positive and finite are ignored.
    pub fn add(&mut self, value: f64) {
        if !(value.is_finite() && value > 0.0) {
            return;
        }
        self.update_far_run(value);
        if self.far_run.abs() >= Self::LEVEL_SHIFT_RUN {
            *self = Self { mean: value, observations: 1, far_run: 0 };
            return;
        }
        let clipped = value.clamp(self.mean / Self::CLIP_FACTOR, self.mean * Self::CLIP_FACTOR);
        let gain = Self::MIN_GAIN.max(1.0 / f64::from(self.observations + 2));
        self.mean += gain * (clipped - self.mean);
        self.observations = self.observations.saturating_add(1).min(1_000);
    }

    /// Returns the current mean.
    #[must_use]
    pub fn get(&self) -> f64 {
        self.mean
    }

    fn update_far_run(&mut self, value: f64) {
        self.far_run = if value > self.mean * Self::FAR_FACTOR {
            self.far_run.max(0) + 1
        } else if value < self.mean / Self::FAR_FACTOR {
            self.far_run.min(0) - 1
        } else {
            0
        };
    }
}
