//! How a connection begins and ends.

use daisychute_core::{
    DataCentreName, EndpointRecord, Incarnation, ProcessName, ProcessRole, RegionName, Revisions,
};
use serde::{Deserialize, Serialize};

/// The version of the protocol that this package speaks.
pub const PROTOCOL_VERSION: u16 = 1;

/// First frame of each side.
///
/// A side that gets a version outside its own `min_version..=version` answers [`GoodbyeReason::Version`] and closes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// The newest version that the sender speaks.
    pub version: u16,
    /// The oldest version that the sender speaks.
    pub min_version: u16,
    /// Who the sender is.
    pub process: ProcessName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// What the sender is.
    pub role: ProcessRole,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// The region of that data centre.
    pub region: RegionName,
    /// What an agent knows of its endpoint.
    #[serde(default)]
    pub endpoint: Option<EndpointRecord>,
    /// The newest documents that the sender has.
    #[serde(default)]
    pub revisions: Revisions,
}

impl Hello {
    /// The version that both sides speak, if there is one.
    #[must_use]
    pub fn common_version(&self, version: u16, min_version: u16) -> Option<u16> {
        let common = self.version.min(version);
        (common >= self.min_version.max(min_version)).then_some(common)
    }
}

/// Why a side closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GoodbyeReason {
    /// The two sides speak no common version.
    Version,
    /// The process stops.
    Leaving,
    /// Nothing needs the connection any more.
    Idle,
    /// The other side broke the protocol.
    Malformed,
    /// A newer connection of the same process replaces this one.
    Replaced,
}

/// Last frame of a side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Goodbye {
    /// Why.
    pub reason: GoodbyeReason,
}
