//! What reaches the agent's task.

use daisychute_core::{Desired, ProcessName, ProcessStatus, Revision};
use daisychute_proto::Frame;
use tokio::sync::oneshot;

use crate::core::Event;
use crate::orders::OrderEvent;

/// What reaches the agent's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something that the core decides on.
    Event(Event),
    /// Something that the order core decides on.
    Order(OrderEvent),
    /// The documents that this process has in force, and the plan's entry for the endpoint.
    Plan {
        /// The plan's revision.
        revision: Revision,
        /// The entry of this endpoint.
        desired: Option<Desired>,
    },
    /// Send a frame about the documents to a peer.
    Send {
        /// The peer.
        peer: ProcessName,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Answer with a picture of the agent.
    Status(oneshot::Sender<ProcessStatus>),
    /// Take no new work and end the task as soon as all requests have been answered.
    Leave,
}
