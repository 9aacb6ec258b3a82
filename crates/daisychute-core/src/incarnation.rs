//! Number that tells the starts of a process apart.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies one start of a process. A later start of the same process has a larger number.
///
/// I/O shells use the wall clock at the start, in microseconds. Data from a smaller incarnation never overrides data
/// from a larger one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
