//! Reaching a running agent.

use daisychute_core::ProcessStatus;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::Input;
use crate::core::Event;

/// For reaching a running agent from the same process.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    tx: UnboundedSender<Input>,
}

impl AgentHandle {
    pub(super) const fn new(tx: UnboundedSender<Input>) -> Self {
        Self { tx }
    }

    /// Tells the core something.
    pub fn event(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Asks it to take no new work and to end when all requests have been answered.
    pub fn leave(&self) {
        let _ = self.tx.send(Input::Leave);
    }

    /// A picture of the agent; none when it has ended.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Status(tx)).ok()?;
        rx.await.ok()
    }
}
