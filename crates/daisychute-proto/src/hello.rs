//! The first and the last frame of a connection.

use daisychute_core::{
    DataCentreName, EndpointRecord, Incarnation, ProcessName, ProcessRole, RegionName, Revisions,
};
use serde::{Deserialize, Serialize};

/// The protocol version that this crate implements.
pub const PROTOCOL_VERSION: u16 = 1;

/// First frame of each side.
///
/// A side that shares no version with the sender closes the connection with [`GoodbyeReason::Version`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The newest protocol version that the sender supports.
    pub version: u16,
    /// The oldest protocol version that the sender supports.
    pub min_version: u16,
    /// The name of the sending process.
    pub process: ProcessName,
    /// The sender's incarnation, which differs between starts of the process.
    pub incarnation: Incarnation,
    /// The role of the sender in the deployment.
    pub role: ProcessRole,
    /// The data centre in which the sender runs.
    pub data_centre: DataCentreName,
    /// The region of the data centre.
    pub region: RegionName,
    /// The record of an agent's endpoint. `None` if the sender isn't an agent.
    #[serde(default)]
    pub endpoint: Option<EndpointRecord>,
    /// The revisions of the newest documents that the sender has.
    #[serde(default)]
    pub revisions: Revisions,
}

impl Hello {
    /// Returns the newest version that both sides support. `None` if there is none.
    #[must_use]
    pub fn common_version(&self, version: u16, min_version: u16) -> Option<u16> {
        let common = self.version.min(version);
        (common >= self.min_version.max(min_version)).then_some(common)
    }
}

/// Why a side closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GoodbyeReason {
    /// The two sides support no common protocol version.
    Version,
    /// The process is shutting down.
    Leaving,
    /// The connection is no longer needed.
    Idle,
    /// The other side violated the protocol.
    Malformed,
    /// A newer connection from the same process replaces this one.
    Replaced,
}

/// Last frame of a side: it closes the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodbye {
    /// Why the sender closes the connection.
    pub reason: GoodbyeReason,
}
