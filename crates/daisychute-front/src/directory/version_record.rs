//! The directory's records of the software versions that may have streams.

use daisychute_core::ServiceName;
use daisychute_dispatch::SoftwareVersions;

/// The software versions of one service that may have streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRecord {
    /// The service.
    pub service: ServiceName,
    /// The versions.
    pub versions: SoftwareVersions,
    /// The era of the directory in which the record was written. A record of an earlier era, which a copy of the directory
    /// brought back, may lack versions.
    pub era: u64,
    /// The revision of the record, which a write that replaces it names. `None` for one that doesn't exist yet.
    pub revision: Option<u64>,
}
