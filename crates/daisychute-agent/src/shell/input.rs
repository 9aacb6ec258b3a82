//! What reaches the agent's task.

use std::sync::Arc;

use daisychute_core::{Plan, ProcessName, ProcessStatus, Revision};
use daisychute_proto::Frame;
use tokio::sync::oneshot;

use crate::core::Event;

/// What reaches the agent's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something that the core decides on.
    Event(Event),
    /// A newer plan is in force.
    Plan(Arc<Plan>),
    /// The revision of the plan on the platform, or none if it could not be read.
    PlanConfirmed(Option<Revision>),
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
    Shutdown,
}
