//! Which start of a process something comes from.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One start of a process. A later start of the same process has a larger number.
///
/// Shells take the wall clock in microseconds at start. Evidence from a smaller incarnation never overrides
/// evidence from a larger one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// The incarnation with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Its number.
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
