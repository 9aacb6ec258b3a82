//! What reaches the entry's task.

use std::sync::Arc;

use daisychute_core::{Configuration, ProcessName, ProcessStatus, RequestId};
use daisychute_proto::Frame;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::core::{Event, Part, Submission};

/// What reaches the entry's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something that the core decides on.
    Event(Event),
    /// A caller's request.
    Submit {
        /// The request.
        submission: Box<Submission>,
        /// Where the parts of its answer go.
        parts: UnboundedSender<Part>,
        /// Where its id goes.
        id: oneshot::Sender<RequestId>,
    },
    /// A configuration is in force.
    Configuration(Arc<Configuration>),
    /// Send a frame of the shared documents to a peer.
    Send {
        /// The peer.
        peer: ProcessName,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Answer with a picture of the entry.
    Status(oneshot::Sender<ProcessStatus>),
    /// Take no new requests and end the task as soon as all have been answered.
    Shutdown,
}
