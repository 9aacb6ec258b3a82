//! Random variables.

use rand::{Rng, RngExt};

/// An exponential variable with this mean.
pub(super) fn exponential(rng: &mut impl Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// A standard normal variable (Box and Muller, 1958).
pub(super) fn normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// A log-normal number of tokens with this mean and this deviation of its logarithm.
pub(super) fn tokens(rng: &mut impl Rng, mean: f64, sigma: f64) -> u32 {
    let value = (mean.ln() - sigma * sigma / 2.0 + sigma * normal(rng)).exp();
    value.clamp(4.0, mean * 4.0) as u32
}

/// A number from 1 on with this mean, falling geometrically.
pub(super) fn geometric(rng: &mut impl Rng, mean: f64) -> u32 {
    let stay = 1.0 - 1.0 / mean;
    let mut count = 1;
    while rng.random::<f64>() < stay {
        count += 1;
    }
    count
}

/// A place below `len`, where place `i` is as likely as `1 / (i + 1)`.
pub(super) fn zipf(rng: &mut impl Rng, len: usize) -> usize {
    let weight = |it: usize| 1.0 / (it + 1) as f64;
    let mut left = rng.random::<f64>() * (0..len).map(weight).sum::<f64>();
    for place in 0..len {
        left -= weight(place);
        if left <= 0.0 {
            return place;
        }
    }
    len - 1
}
