//! What the store keeps about usage reports.

use std::fmt;
use std::sync::Arc;

use daisychute_core::Term;
use serde::{Deserialize, Serialize};

use crate::{UsageReport, WindowId};

/// The state object of the duty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportState {
    /// Term of the holder that wrote the state.
    pub term: Term,
    /// No window up to this one is frozen again.
    pub last_frozen: Option<WindowId>,
    /// Frozen reports that the API has not acknowledged, by window. Their counts never change.
    // Invariant: no window is later than `last_frozen`, and each occurs once.
    pub reports: Vec<UsageReport>,
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
