//! Events that the shell reports to the core.

use daisychute_core::{EndpointRecord, RequestId, Revisions, Time};
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Hello};

use super::{LinkEnd, Submission};

/// An input of the core, reported by the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A client's request was parsed and validated.
    Submit {
        /// Id of the request, from [`EntryCore::next_id`](super::EntryCore::next_id).
        id: RequestId,
        /// The validated request.
        submission: Box<Submission>,
    },
    /// The client has read more of its response.
    ClientRead {
        /// Request whose response was read.
        id: RequestId,
        /// Number of bytes read since the last such event.
        bytes: u64,
    },
    /// The client disconnected before the final part of its response.
    ClientDisconnected {
        /// Request that the client gave up.
        id: RequestId,
    },
    /// All endpoints of the region that the directory currently lists.
    Endpoints(Vec<EndpointRecord>),
    /// A connection was opened.
    LinkUp {
        /// Connection that the core asked for with [`Action::Connect`](super::Action::Connect).
        link: LinkId,
        /// Hello frame of the agent.
        hello: Box<Hello>,
    },
    /// A connection was lost or could not be opened.
    LinkDown {
        /// Connection that ended.
        link: LinkId,
        /// What the end of the connection implies about the agent.
        end: LinkEnd,
    },
    /// A frame arrived.
    Frame {
        /// Connection that the frame arrived on.
        link: LinkId,
        /// The received frame.
        frame: Box<Frame>,
    },
    /// Revisions of the shared documents that this process has in force, to be announced to agents.
    Revisions(Revisions),
    /// The process will shut down: refuse requests that may not end by `deadline` as long as nothing of them has run.
    ShutdownAnnounced {
        /// When requests that are still open are refused or cut.
        deadline: Time,
    },
    /// The process shuts down: refuse new requests, finish those in flight.
    Shutdown,
    /// The time returned by [`EntryCore::wake_at`](super::EntryCore::wake_at) was reached.
    Wake,
}
