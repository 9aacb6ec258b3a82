//! Random draws from the distributions of the generator.

use rand::{Rng, RngExt};

/// Exponential distribution with this mean.
pub(super) fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Standard normal distribution (Box and Muller, 1958).
pub(super) fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Number of tokens with a log-normal distribution, at least 4 and at most four times the mean. `sigma` is the standard
/// deviation of the logarithm.
pub(super) fn token_count(rng: &mut impl Rng, mean: f64, sigma: f64) -> u32 {
    let value = (mean.ln() - sigma * sigma / 2.0 + sigma * normal(rng)).exp();
    value.clamp(4.0, mean * 4.0) as u32
}

/// Geometric distribution over 1, 2, 3, ... with this mean.
pub(super) fn geometric(rng: &mut impl Rng, mean: f64) -> u32 {
    let continue_probability = 1.0 - 1.0 / mean;
    let mut count = 1;
    while rng.random::<f64>() < continue_probability {
        count += 1;
    }
    count
}

/// Zipf distribution over the indices below `len`: index `i` has the weight `1 / (i + 1)`.
pub(super) fn zipf(rng: &mut impl Rng, len: usize) -> usize {
    let weight = |it: usize| 1.0 / (it + 1) as f64;
    let mut remaining = rng.random::<f64>() * (0..len).map(weight).sum::<f64>();
    for index in 0..len {
        remaining -= weight(index);
        if remaining <= 0.0 {
            return index;
        }
    }
    len - 1
}
