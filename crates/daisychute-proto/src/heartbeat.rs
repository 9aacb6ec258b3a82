//! Signs of life.

use daisychute_core::{EndpointRecord, LoadReport, Revisions};
use serde::{Deserialize, Serialize};

/// Sent by each side at a fixed interval. A side that hears nothing for several intervals gives the connection up
/// as silent and opens a new one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Counts the heartbeats of this side of the connection.
    pub seq: u64,
    /// The newest documents that the sender has.
    #[serde(default)]
    pub revisions: Revisions,
    /// The load of the sender's endpoint, where it is an agent.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// What an agent knows of its endpoint, when it changed since the last heartbeat.
    #[serde(default)]
    pub endpoint: Option<EndpointRecord>,
}
