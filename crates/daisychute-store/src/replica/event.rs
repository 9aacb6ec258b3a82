//! Events and actions of the replica core.

use bytes::Bytes;
use daisychute_core::{ProcessName, Revision, Time};

use super::DocumentError;
use crate::ResourceVersion;

/// Input of the replica core.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaEvent {
    /// Whether this process is one of the elected watchers of the platform.
    Watcher(bool),
    /// [`ReplicaAction::List`] succeeded.
    Listed {
        /// Version of the list, from which to watch.
        version: ResourceVersion,
        /// JSON text of the object's content; `None` if the object does not exist.
        body: Option<Bytes>,
    },
    /// [`ReplicaAction::List`] failed.
    ListFailed,
    /// The watch delivered a change of the object.
    Changed {
        /// JSON text of the object's content.
        body: Bytes,
    },
    /// The watch delivered an event without new content, such as a bookmark.
    WatchAlive,
    /// The watch could not be opened, ended, reached its idle timeout or missed changes.
    WatchEnded,
    /// A peer reported the revision that it has in force.
    PeerRevision {
        /// Peer that reported.
        peer: ProcessName,
        /// Revision in force at the peer.
        revision: Revision,
    },
    /// The connection to a peer was lost.
    PeerDisconnected {
        /// Peer whose connection was lost.
        peer: ProcessName,
    },
    /// A peer asks for the document if it is newer than the peer's.
    PullFrom {
        /// Peer to which a newer document is sent.
        peer: ProcessName,
        /// Revision in force at the peer; zero if it has no document.
        have: Revision,
    },
    /// A peer sent its document, usually in response to [`ReplicaAction::Pull`].
    Document {
        /// Peer that sent the document.
        peer: ProcessName,
        /// JSON text of the document.
        body: Bytes,
    },
    /// A requested wake-up time was reached, or any other occasion to check the timers.
    Tick,
}

/// Output of the replica core, to be executed by the I/O shell.
#[derive(Debug)]
pub enum ReplicaAction {
    /// Read the object and the version to watch from, and report [`ReplicaEvent::Listed`] or `ListFailed`.
    List,
    /// Open a watch of the object.
    Watch {
        /// Version of the list: the watch delivers the changes after it.
        from: ResourceVersion,
    },
    /// Close the watch.
    EndWatch,
    /// Ask a peer for a newer document.
    Pull {
        /// Peer that reported the highest revision.
        peer: ProcessName,
        /// Revision in force in this process; zero if there is none.
        have: Revision,
    },
    /// Send the document in force to a peer that asked for it.
    Send {
        /// Peer that asked.
        peer: ProcessName,
        /// Revision of the document.
        revision: Revision,
        /// JSON text of the document.
        body: Bytes,
    },
    /// A newer valid document replaced the one in force.
    Accepted {
        /// Revision now in force.
        revision: Revision,
    },
    /// An invalid document was rejected as a whole; the previous one stays in force.
    Rejected {
        /// What is wrong with the document.
        error: DocumentError,
    },
    /// Pass [`ReplicaEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
