//! Inputs of the agent's task.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Plan, ProcessName, ProcessStatus, Revision};
use daisychute_proto::Frame;
use tokio::sync::oneshot;

use crate::core::Event;

/// Inputs of the agent's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the core.
    Event(Event),
    /// Apply a newer plan.
    Plan(Arc<Plan>),
    /// The plan revision in the platform store, or `None` if it could not be read.
    PlanConfirmed(Option<Revision>),
    /// Send a document replication frame to a peer.
    Send {
        /// Name of the receiving process.
        peer: ProcessName,
        /// The frame to send. It is dropped if there is no connection to the peer.
        frame: Box<Frame>,
    },
    /// Reply with the current status of the agent.
    Status(oneshot::Sender<ProcessStatus>),
    /// Stop admission and end the task when no request is left.
    Shutdown {
        /// How long running requests may take to end.
        drain: Duration,
    },
}
