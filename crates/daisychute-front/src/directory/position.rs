//! A position in the history of the directory.

use serde::{Deserialize, Serialize};

/// A revision of the directory in one of its eras.
///
/// A directory that is restored from a copy begins a new era. Its revisions go back to that of the copy, and the same
/// revision may then stand for another change, so revisions are only compared together with their eras.
///
/// ```
/// use daisychute_front::Position;
///
/// assert!(Position::new(2, 40) > Position::new(1, 90));
/// assert!(Position::new(2, 41) > Position::new(2, 40));
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    // Compared before the revision: the order of the fields is the order of comparison.
    era: u64,
    revision: u64,
}

impl Position {
    /// Creates a position. A directory without eras stays in era 0.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the era: how many times the directory was restored, counted by the directory.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the revision, which means something only to the directory in this era.
    #[must_use]
    pub const fn revision(self) -> u64 {
        self.revision
    }
}
