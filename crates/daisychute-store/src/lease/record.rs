//! Content of a lease object.

use std::time::Duration;

use daisychute_core::{Incarnation, ProcessName, Term};
use serde::{Deserialize, Serialize};

/// A process that may hold a lease, told apart from its earlier and later incarnations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the process; it stays the same over restarts.
    pub process: ProcessName,
    /// Incarnation of the process: a restart gets a higher one.
    pub incarnation: Incarnation,
}

/// Content of a lease object, as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The current holder; `None` after the holder released the lease.
    pub holder: Option<Holder>,
    /// Fencing token: each acquisition uses a higher term, so that writes of earlier holders can be rejected.
    pub term: Term,
    /// How long the lease is valid after its last renewal, in milliseconds.
    pub duration_ms: u64,
    /// The process that held the lease before the one that holds or released it. It acquires the lease only after it has
    /// observed the record unchanged for the whole duration. Missing in records of older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous: Option<ProcessName>,
    /// The process that released the lease; `None` while it is held. Missing in records of older builds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_by: Option<ProcessName>,
}

impl LeaseRecord {
    /// How long the lease is valid after its last renewal.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }

    /// The process that holds the lease, or that released it.
    pub(super) fn last_holder(&self) -> Option<&ProcessName> {
        self.holder.as_ref().map(|it| &it.process).or(self.released_by.as_ref())
    }

    /// The process that is the previous one after `process` acquires the lease.
    pub(super) fn previous_after(&self, process: &ProcessName) -> Option<ProcessName> {
        let last = self.last_holder().filter(|it| *it != process);
        last.or(self.previous.as_ref()).cloned()
    }
}
