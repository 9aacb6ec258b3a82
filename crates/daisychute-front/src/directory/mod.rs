//! The directory that registers configurations, endpoints and fronts.

pub(crate) mod directory_outage;
pub(crate) mod record;
pub(crate) mod revisions;
pub(crate) mod watcher;

use std::time::Duration;

use crate::directory::record::{Collection, Record};

/// Why a call of the directory failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// The directory no longer has the changes since the requested revision; a new listing is needed.
    #[error("the directory no longer has the changes since that revision")]
    HistoryGone,
    /// The directory refused the call with this HTTP status; it may accept it later.
    #[error("the directory refused the call with status {0}")]
    Refused(u16),
    /// No response arrived in time, or the connection was lost.
    #[error("the directory is unreachable: {0}")]
    Unreachable(String),
    /// The response is malformed.
    #[error("the directory's response is malformed: {0}")]
    Unreadable(String),
}

/// A record that was added, changed or removed.
#[derive(Debug, Clone)]
pub struct Change {
    /// The name of the record, unique in its collection.
    pub name: String,
    /// The content of the record, or the reason why it is invalid. `None` if the record was removed.
    pub record: Option<Result<Record, String>>,
}

/// The records of a collection, or the changes since a revision.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The records or changes.
    pub changes: Vec<Change>,
    /// The revision of the directory at which it was taken; a watch continues from here.
    pub revision: u64,
    /// The revision of the latest change among the records; 0 if there are none.
    pub latest: u64,
}

/// Access to a store of records with revisions. It makes no decisions.
pub trait Directory: Clone + 'static {
    /// Returns all records of a collection. With `allow_stale`, the listing may be some seconds old, which is cheaper.
    fn list(
        &self,
        collection: Collection,
        allow_stale: bool,
    ) -> impl Future<Output = Result<Listing, DirectoryError>>;

    /// Waits up to `wait` for changes after `revision`. The listing is empty if there are none.
    fn watch(
        &self,
        collection: Collection,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, DirectoryError>>;

    /// Writes the record by which other fronts find this one, replacing any existing record.
    fn announce(
        &self,
        name: &str,
        address: std::net::SocketAddr,
    ) -> impl Future<Output = Result<(), DirectoryError>>;
}
