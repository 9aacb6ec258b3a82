//! What the shell tells the core.

use daisychute_core::{EndpointRecord, RequestId, Revisions};
use daisychute_link::LinkId;
use daisychute_proto::{Frame, Hello};

use super::{LinkEnd, Submission};

/// What the shell tells the core.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller's request was read and checked.
    Submit {
        /// Its id, from [`EntryCore::next_id`](super::EntryCore::next_id).
        id: RequestId,
        /// The request.
        submission: Box<Submission>,
    },
    /// The caller has taken more of its answer.
    ClientRead {
        /// The request.
        id: RequestId,
        /// How many bytes.
        bytes: u64,
    },
    /// The caller is gone.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The endpoints of the region as the platform lists them.
    Endpoints(Vec<EndpointRecord>),
    /// A connection is up.
    LinkUp {
        /// The connection.
        link: LinkId,
        /// The agent's hello.
        hello: Box<Hello>,
    },
    /// A connection is down, or could not be opened.
    LinkDown {
        /// The connection.
        link: LinkId,
        /// What its end tells of the agent.
        end: LinkEnd,
    },
    /// A frame has arrived.
    Frame {
        /// The connection.
        link: LinkId,
        /// The frame.
        frame: Box<Frame>,
    },
    /// The documents that this process has in force.
    Revisions(Revisions),
    /// Take no new requests.
    Shutdown,
    /// The time that [`EntryCore::wake_at`](super::EntryCore::wake_at) gave has come.
    Wake,
}
