//! What the directory said when it was last read for streams that clients resume.

use std::collections::BTreeMap;

use daisychute_core::{ServiceName, SoftwareVersion, Time};

use crate::SoftwareVersions;

/// The directory's record of the versions of a service that may have streams.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordedVersions {
    /// The versions. Streams begin at these only.
    pub versions: SoftwareVersions,
    /// Whether no other version may have streams. Otherwise others may have had some before the record was written.
    pub is_complete: bool,
}

/// A read of the directory.
///
/// It tells of all streams that began before `begun_at`: the directory answered later than that, and streams begin only at
/// recorded versions, which stay recorded for longer than any stream can be resumed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryRead {
    /// When the calls were made.
    pub begun_at: Time,
    /// The record of each service that has one.
    pub records: BTreeMap<ServiceName, RecordedVersions>,
    /// Version of the newest configuration; `None` if it isn't known.
    pub configuration: Option<u64>,
}

impl DirectoryRead {
    /// Returns the only version of the service that may have streams; `None` if others may have some.
    pub(crate) fn sole_version(&self, service: &ServiceName) -> Option<&Option<SoftwareVersion>> {
        let RecordedVersions { versions, is_complete } = self.records.get(service)?;
        versions.first().filter(|_| *is_complete && versions.len() == 1)
    }

    /// Whether only one service may have streams that can be resumed.
    pub(crate) fn has_one_service(&self) -> bool {
        self.records.len() == 1
    }
}
