//! Messages to the entry's task.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Configuration, ProcessName, ProcessStatus, RequestId};
use daisychute_proto::Frame;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::core::{Event, ResponsePart, Submission};

/// A message to the entry's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event to pass to the core.
    Event(Event),
    /// Submits a client's request.
    Submit {
        /// The validated request.
        submission: Box<Submission>,
        /// Channel that receives the response parts.
        parts: UnboundedSender<ResponsePart>,
        /// Channel that receives the id assigned to the request.
        id: oneshot::Sender<RequestId>,
    },
    /// Sets the configuration that is now in force.
    Configuration(Arc<Configuration>),
    /// Sends a frame of the document replication to a peer. Dropped if there is no connection to it.
    Send {
        /// Process that receives the frame.
        peer: ProcessName,
        /// Frame to send.
        frame: Box<Frame>,
    },
    /// Requests the current status of the entry, which is sent to the channel.
    Status(oneshot::Sender<ProcessStatus>),
    /// Announces the shutdown.
    PrepareShutdown {
        /// How long requests in progress may take to end.
        drain: Duration,
    },
    /// Refuses new requests and ends the task once all requests are finished.
    Shutdown,
}
