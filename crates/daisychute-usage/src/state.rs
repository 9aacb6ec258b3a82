//! What the store keeps about usage reports.

use std::fmt;
use std::sync::Arc;

use daisychute_core::Term;
use serde::{Deserialize, Serialize};

use crate::{UsageReport, WindowId};

/// Position of a state among all that holders wrote, compared by term and then by serial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateStamp {
    // Compared before the serial: the order of the fields is the order of comparison.
    /// Term of the holder that wrote the state.
    pub term: Term,
    /// Counts the states that the holder wrote under this term, also those whose writes may yet take effect.
    pub serial: u64,
}

/// The state object of the duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportState {
    /// Term of the holder that wrote the state.
    pub term: Term,
    /// Serial of the state within the term.
    pub serial: u64,
    /// No window up to this one is frozen again.
    pub last_frozen: Option<WindowId>,
    /// Frozen reports that the API has not acknowledged, by window. Their counts never change.
    // Invariant: no window is later than `last_frozen`, and each occurs once.
    pub reports: Vec<UsageReport>,
}

impl ReportState {
    /// Returns the position of the state among all that holders wrote.
    #[must_use]
    pub const fn stamp(&self) -> StateStamp {
        StateStamp { term: self.term, serial: self.serial }
    }
}

/// Opaque version of the state object. A version never comes back with another content, also when the store is
/// restored from an older copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StateVersion(Arc<str>);

impl StateVersion {
    /// The version as the store wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for StateVersion {
    fn from(raw: &str) -> Self {
        Self(Arc::from(raw))
    }
}

impl fmt::Display for StateVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
