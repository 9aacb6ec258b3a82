//! The content of a lease object.

use std::time::Duration;

use daisychute_core::{Incarnation, ProcessName, Term};
use serde::{Deserialize, Serialize};

/// One start of a process that may hold a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The process.
    pub process: ProcessName,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// The content of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it; none after its holder released it.
    pub holder: Option<Holder>,
    /// Counts the acquisitions. It fences the writes of earlier holders.
    pub term: Term,
    /// How long the lease lasts after its last renewal, in milliseconds.
    pub duration_ms: u64,
}

impl LeaseRecord {
    /// How long the lease lasts after its last renewal.
    #[must_use]
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.duration_ms)
    }
}
