//! Heartbeats between connected processes.

use daisychute_core::{EndpointRecord, LoadReport, Revisions};
use serde::{Deserialize, Serialize};

/// Sent by each side at a fixed interval. A side that receives no frame for several intervals closes the connection as
/// unresponsive and opens a new one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number of the heartbeat on this side of the connection.
    pub seq: u64,
    /// The revisions of the newest documents that the sender has.
    #[serde(default)]
    pub revisions: Revisions,
    /// The load of the sender's endpoint, if the sender is an agent.
    #[serde(default)]
    pub load: Option<LoadReport>,
    /// The record of an agent's endpoint, if it has changed since the last heartbeat.
    #[serde(default)]
    pub endpoint: Option<EndpointRecord>,
}
