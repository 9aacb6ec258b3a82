//! Reaching a running agent.

use std::sync::Arc;

use daisychute_core::{Plan, ProcessName, ProcessStatus, Revision};
use daisychute_proto::Frame;
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

    /// A newer plan is in force.
    pub fn plan(&self, plan: Arc<Plan>) {
        let _ = self.tx.send(Input::Plan(plan));
    }

    /// The plan on the platform has this revision, or could not be read.
    pub fn plan_confirmed(&self, revision: Option<Revision>) {
        let _ = self.tx.send(Input::PlanConfirmed(revision));
    }

    /// Sends a frame about the documents to a peer, if there is a connection to it.
    pub fn send(&self, peer: ProcessName, frame: Box<Frame>) {
        let _ = self.tx.send(Input::Send { peer, frame });
    }

    /// Asks it to take no new work and to end when all requests have been answered.
    pub fn shut_down(&self) {
        let _ = self.tx.send(Input::Shutdown);
    }

    /// A picture of the agent; none when it has ended.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Status(tx)).ok()?;
        rx.await.ok()
    }
}
