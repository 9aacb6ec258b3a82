//! Handle for a running agent.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Plan, ProcessName, ProcessStatus, Revision};
use daisychute_proto::Frame;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::Input;
use crate::core::Event;

/// Controls a running agent from the same process. Calls are ignored after it has stopped.
#[derive(Debug, Clone)]
pub struct AgentHandle {
    tx: UnboundedSender<Input>,
}

impl AgentHandle {
    pub(super) const fn new(tx: UnboundedSender<Input>) -> Self {
        Self { tx }
    }

    /// Passes an event to the core.
    pub fn event(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Applies a newer plan.
    pub fn plan(&self, plan: Arc<Plan>) {
        let _ = self.tx.send(Input::Plan(plan));
    }

    /// Reports the plan revision in the platform store, or `None` if it could not be read.
    pub fn plan_confirmed(&self, revision: Option<Revision>) {
        let _ = self.tx.send(Input::PlanConfirmed(revision));
    }

    /// Sends a document replication frame to a peer, if there is a connection to it.
    pub fn send(&self, peer: ProcessName, frame: Box<Frame>) {
        let _ = self.tx.send(Input::Send { peer, frame });
    }

    /// Stops admission and ends the agent when no request is left, or after `drain`. Queued requests that may not end
    /// by then are refused at once, as not run; those that still run then are cut.
    pub fn shut_down(&self, drain: Duration) {
        let _ = self.tx.send(Input::Shutdown { drain });
    }

    /// The current status of the agent; `None` after it has stopped.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Status(tx)).ok()?;
        rx.await.ok()
    }
}
