//! Owners of idempotency keys, as frames name them.

use daisychute_core::{Incarnation, ProcessName};
use serde::{Deserialize, Serialize};

/// One agent as an owner of idempotency keys.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// The agent.
    pub agent: ProcessName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Counts the leases of that start.
    #[serde(default)]
    pub generation: u32,
}
