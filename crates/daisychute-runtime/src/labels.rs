//! A bound on the values of a metric's label.

use std::collections::BTreeSet;

/// Lets through a bounded number of different values of a label; the others become [`Labels::OTHER`].
#[derive(Debug, Clone)]
pub struct Labels {
    most: usize,
    // Invariant: at most `most` values.
    known: BTreeSet<String>,
}

impl Labels {
    /// What a value becomes that is one too many.
    pub const OTHER: &'static str = "other";

    /// Lets `most` different values through.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self { most, known: BTreeSet::new() }
    }

    /// The value, or [`Labels::OTHER`].
    pub fn bounded(&mut self, value: &str) -> String {
        if self.known.contains(value) {
            return value.to_owned();
        }
        if self.known.len() >= self.most {
            return Self::OTHER.to_owned();
        }
        self.known.insert(value.to_owned());
        value.to_owned()
    }
}
