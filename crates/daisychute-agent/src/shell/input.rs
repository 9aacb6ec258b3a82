//! What reaches the agent's task.

use tokio::sync::oneshot;

use crate::core::Event;

/// What reaches the agent's task.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something that the core decides on.
    Event(Event),
    /// Answer with a picture of the agent.
    Status(oneshot::Sender<daisychute_core::ProcessStatus>),
    /// Take no new work and end the task as soon as all requests have been answered.
    Leave,
}
