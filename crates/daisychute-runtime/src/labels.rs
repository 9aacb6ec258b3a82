//! Limit on the number of values of a metric label.

use std::collections::BTreeSet;

/// Passes a limited number of distinct label values; all others become [`Labels::OTHER`].
#[derive(Debug, Clone)]
pub struct Labels {
    max_values: usize,
    // Invariant: no more than `max_values` entries.
    known: BTreeSet<String>,
}

impl Labels {
    /// Replaces every value beyond the limit.
    pub const OTHER: &'static str = "other";

    /// Creates a set that passes the first `max_values` distinct values.
    #[must_use]
    pub const fn new(max_values: usize) -> Self {
        Self { max_values, known: BTreeSet::new() }
    }

    /// Returns `value`, or [`Labels::OTHER`] if the limit was reached before `value` was first seen.
    pub fn bounded(&mut self, value: &str) -> String {
        if self.known.contains(value) {
            return value.to_owned();
        }
        if self.known.len() >= self.max_values {
            return Self::OTHER.to_owned();
        }
        self.known.insert(value.to_owned());
        value.to_owned()
    }
}
