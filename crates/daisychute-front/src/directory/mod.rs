//! Where configurations, endpoints and other fronts are listed.

pub(crate) mod directory_outage;
pub(crate) mod record;
pub(crate) mod revisions;
pub(crate) mod watcher;

use std::time::Duration;

use crate::directory::record::{Collection, Record};

/// Why the directory did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DirectoryError {
    /// The history since that revision is gone; a new listing is needed.
    #[error("the directory has dropped its history since that revision")]
    HistoryGone,
    /// The directory refused the call for now.
    #[error("the directory refused the call with status {0}")]
    Refused(u16),
    /// No answer came in time, or the connection broke.
    #[error("the directory did not answer: {0}")]
    Unreachable(String),
    /// The answer can't be read.
    #[error("the directory's answer can't be read: {0}")]
    Unreadable(String),
}

/// One change of a collection.
#[derive(Debug, Clone)]
pub struct Change {
    /// The name of the record.
    pub name: String,
    /// Its content; none where it is gone. A record that can't be read has a reason in place of a content.
    pub record: Option<Result<Record, String>>,
}

/// The content of a collection, or what changed in it.
#[derive(Debug, Clone, Default)]
pub struct Listing {
    /// The records.
    pub changes: Vec<Change>,
    /// The revision that it shows; a watch goes on from here.
    pub revision: u64,
    /// The revision of the latest change among the records; 0 where there is none.
    pub latest: u64,
}

/// A store of records with a revision. It decides nothing.
pub trait Directory: Clone + 'static {
    /// All records of a collection. A listing that may be `old` by seconds is cheaper.
    fn list(
        &self,
        collection: Collection,
        old: bool,
    ) -> impl Future<Output = Result<Listing, DirectoryError>>;

    /// Waits up to `wait` for changes after `revision`. The listing is empty where there were none.
    fn watch(
        &self,
        collection: Collection,
        revision: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Listing, DirectoryError>>;

    /// Writes the record by which other fronts find this one, whatever stands there.
    fn announce(
        &self,
        name: &str,
        address: std::net::SocketAddr,
    ) -> impl Future<Output = Result<(), DirectoryError>>;
}
