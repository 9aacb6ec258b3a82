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
}

impl LeaseRecord {
    /// How long the lease is valid after its last renewal.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}
