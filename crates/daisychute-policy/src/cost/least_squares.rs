//! Recursive least squares with forgetting and clipped residuals.

/// A linear model of `N` features that is updated with each observation.
///
/// It uses recursive least squares with exponential forgetting (Ljung, System Identification, ch. 11). Each residual
/// is clipped at a multiple of the typical one, as in Huber's estimator.
#[derive(Debug, Clone)]
pub struct LeastSquares<const N: usize> {
    // One coefficient per feature.
    coefficients: [f64; N],
    covariance: [[f64; N]; N],
    // Moving mean of the absolute clipped residuals. Invariant: at least `MIN_SCALE`.
    residual_scale: f64,
    // Consecutive residuals that were clipped on the same side; negative for the low side.
    clipped_run: i32,
}

impl<const N: usize> LeastSquares<N> {
    /// Factor by which the weight of earlier observations falls with each new one.
    const FORGETTING: f64 = 0.999;
    /// Variance of the first coefficient, and of each other one, before the first observation.
    const INITIAL_VARIANCE: (f64, f64) = (10.0, 0.1);
    /// Trace of the covariance above which nothing is forgotten: without new information, forgetting would make the
    /// covariance grow without bound.
    const MAX_TRACE: f64 = 100.0;
    /// Lower bound of the residual scale.
    const MIN_SCALE: f64 = 0.5;
    /// Weight of one residual in the residual scale.
    const SCALE_GAIN: f64 = 0.02;
    /// Residuals are clipped at this multiple of the residual scale.
    const CLIP_FACTOR: f64 = 3.0;
    /// Consecutive clipped residuals on one side that indicate a changed level rather than outliers.
    const LEVEL_SHIFT_RUN: i32 = 16;

    /// Creates a model with `prior` as its coefficients.
    #[must_use]
    pub fn new(prior: [f64; N]) -> Self {
        Self {
            coefficients: prior,
            covariance: Self::initial_covariance(),
            residual_scale: 4.0,
            clipped_run: 0,
        }
    }

    /// Updates the model with the value `y` at features `x`. Values that aren't finite are ignored.
    pub fn add(&mut self, x: [f64; N], y: f64) {
        if !y.is_finite() || x.iter().any(|it| !it.is_finite()) {
            return;
        }
        let residual = y - dot(self.coefficients, x);
        self.update_clipped_run(residual);
        if self.clipped_run.abs() >= Self::LEVEL_SHIFT_RUN {
            self.covariance = Self::initial_covariance();
            self.residual_scale = residual.abs().max(Self::MIN_SCALE);
            self.clipped_run = 0;
        }
        let bound = Self::CLIP_FACTOR * self.residual_scale;
        let clipped = residual.clamp(-bound, bound);
        self.residual_scale += Self::SCALE_GAIN * (clipped.abs() - self.residual_scale);
        self.residual_scale = self.residual_scale.max(Self::MIN_SCALE);
        self.update(x, clipped);
    }

    /// Returns the predicted value at features `x`, at least zero.
    #[must_use]
    pub fn predict(&self, x: [f64; N]) -> f64 {
        dot(self.coefficients, x).max(0.0)
    }

    /// Applies one recursive least squares step with the clipped residual.
    fn update(&mut self, x: [f64; N], residual: f64) {
        let px: [f64; N] = std::array::from_fn(|i| dot(self.covariance[i], x));
        let denominator = Self::FORGETTING + dot(px, x);
        for (coefficient, gain) in self.coefficients.iter_mut().zip(px) {
            *coefficient += gain / denominator * residual;
        }
        let forgetting = if self.trace() < Self::MAX_TRACE { Self::FORGETTING } else { 1.0 };
        for (row, left) in self.covariance.iter_mut().zip(px) {
            for (cell, right) in row.iter_mut().zip(px) {
                *cell = (*cell - left * right / denominator) / forgetting;
            }
        }
    }

    fn initial_covariance() -> [[f64; N]; N] {
        let (first, other) = Self::INITIAL_VARIANCE;
        let variance = |i| if i == 0 { first } else { other };
        std::array::from_fn(|i| std::array::from_fn(|j| if i == j { variance(i) } else { 0.0 }))
    }

    fn trace(&self) -> f64 {
        (0..N).map(|i| self.covariance[i][i]).sum()
    }

    /// Counts consecutive clipped residuals. Call it before the residual scale is updated with this residual.
    fn update_clipped_run(&mut self, residual: f64) {
        let bound = Self::CLIP_FACTOR * self.residual_scale;
        self.clipped_run = if residual > bound {
            self.clipped_run.max(0) + 1
        } else if residual < -bound {
            self.clipped_run.min(0) - 1
        } else {
            0
        };
    }
}

fn dot<const N: usize>(a: [f64; N], b: [f64; N]) -> f64 {
    a.iter().zip(b).map(|(x, y)| x * y).sum()
}
