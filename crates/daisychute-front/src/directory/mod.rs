//! The directory that registers configurations, endpoints and fronts.

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod continuity;
pub(crate) mod departures;
pub(crate) mod directory_outage;
pub(crate) mod position;
pub(crate) mod record;
pub(crate) mod revisions;
pub(crate) mod store_era;
pub(crate) mod version_record;
pub(crate) mod version_recorder;
pub(crate) mod watcher;

use std::time::Duration;

use crate::directory::answer::Answer;
use crate::directory::position::Position;
use crate::directory::record::{Collection, Record};
use crate::directory::version_record::VersionRecord;

/// Why a call of the directory failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// The directory doesn't have the changes since the requested position, or was restored while it was listed; a new
    /// listing is needed.
    #[error("the directory doesn't have the changes since that position")]
    HistoryGone,
    /// The changes since the requested position would take longer to receive than a new listing.
    #[error("the changes since that position are larger than a listing")]
    TooManyChanges,
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

/// The records of a collection, or the changes since a position.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The records or changes.
    pub changes: Vec<Change>,
    /// The position of the directory at which it was taken; a watch continues from here.
    pub position: Position,
    /// The position of the latest change among the records; revision 0 if there are none.
    pub latest: Position,
}

/// Access to a store of records with revisions. It makes no decisions.
pub trait Directory: Clone + 'static {
    /// How much later than its wait time the response to a watch may begin, before the watch fails.
    const WATCH_RESPONSE_MARGIN: Duration;

    /// The response to a watch, whose changes haven't been received yet.
    type WatchResponse;

    /// Returns all records of a collection. With `allow_stale`, the listing may be some seconds old, which is cheaper.
    fn list(
        &self,
        collection: Collection,
        allow_stale: bool,
    ) -> impl Future<Output = Answer<Listing>>;

    /// Waits up to `wait` for changes after `position`, until the response begins.
    fn watch(
        &self,
        collection: Collection,
        position: Position,
        wait: Duration,
    ) -> impl Future<Output = Answer<Self::WatchResponse>>;

    /// Receives the changes that a watch has waited for. The listing is empty if there are none. A directory that was
    /// restored meanwhile answers in another era; its listing doesn't continue from the position of the watch.
    fn receive(&self, response: Self::WatchResponse) -> impl Future<Output = Answer<Listing>>;

    /// Writes the record by which other fronts find this one, replacing any existing record.
    fn announce(
        &self,
        name: &str,
        address: std::net::SocketAddr,
    ) -> impl Future<Output = Answer<()>>;

    /// Makes later calls on new connections. Those that are open may have gone silent together, which only a timeout shows.
    fn reconnect(&self);

    /// Returns the records of the versions that may have streams, of all services that have one, and the position of the
    /// directory at which they were read.
    fn version_records(&self) -> impl Future<Output = Answer<(Position, Vec<VersionRecord>)>>;

    /// Creates such a record, or replaces it if it still has the given revision. Returns whether it was written; `false` if
    /// there is another one.
    fn write_version_record(&self, record: &VersionRecord) -> impl Future<Output = Answer<bool>>;
}
