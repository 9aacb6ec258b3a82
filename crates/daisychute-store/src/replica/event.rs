//! What a replica is told and what it asks for.

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision, Time};

use super::DocumentError;
use crate::ResourceVersion;

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// This process became, or is no longer, one of the few that watch the platform.
    Watcher(bool),
    /// The platform answered [`ReplicaAction::List`].
    Listed {
        /// The version to watch from.
        version: ResourceVersion,
        /// The JSON text of the object's content; none where there is no object.
        body: Option<Bytes>,
    },
    /// [`ReplicaAction::List`] got no answer.
    ListFailed,
    /// The watch brought this content.
    Changed {
        /// JSON text of the object's content.
        body: Bytes,
    },
    /// The watch brought a bookmark.
    WatchAlive,
    /// The watch could not be opened, ended, went silent or missed changes.
    WatchEnded,
    /// A peer has this revision in force.
    PeerRevision {
        /// The peer.
        peer: ProcessName,
        /// Its revision.
        revision: Revision,
    },
    /// There is no connection to a peer any more.
    PeerDisconnected {
        /// The peer.
        peer: ProcessName,
    },
    /// A peer asks for the document if it is newer than this.
    PullFrom {
        /// The peer.
        peer: ProcessName,
        /// The revision that it has.
        have: Revision,
    },
    /// A peer sent the document.
    Document {
        /// The peer.
        peer: ProcessName,
        /// JSON text of the document.
        body: Bytes,
    },
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug)]
pub enum ReplicaAction {
    /// Read the object, and the version to watch from.
    List,
    /// Watch the object from this version on.
    Watch {
        /// The version.
        from: ResourceVersion,
    },
    /// Close the watch.
    EndWatch,
    /// Ask a peer for the document.
    Pull {
        /// The peer.
        peer: ProcessName,
        /// The revision that is in force here.
        have: Revision,
    },
    /// Send the document to a peer.
    Send {
        /// The peer.
        peer: ProcessName,
        /// Its revision.
        revision: Revision,
        /// JSON text of the document.
        body: Bytes,
    },
    /// A newer document is in force.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// A document was refused as a whole; the one before stays in force.
    Rejected {
        /// Why.
        error: DocumentError,
    },
    /// Call again with [`ReplicaEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
