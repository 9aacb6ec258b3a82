//! Reaching a running entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use daisychute_core::{Configuration, ProcessName, ProcessStatus};
use daisychute_proto::Frame;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use super::Input;
use crate::clients::AnswerParts;
use crate::core::{Event, Submission};

/// For reaching a running entry from the same thread.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    tx: UnboundedSender<Input>,
    shared: Rc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    configuration: RefCell<Option<Arc<Configuration>>>,
    shutting_down: Cell<bool>,
}

impl EntryHandle {
    pub(super) fn new(tx: UnboundedSender<Input>) -> Self {
        Self { tx, shared: Rc::default() }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn configure(&self, cfg: Arc<Configuration>) {
        self.shared.configuration.replace(Some(cfg.clone()));
        let _ = self.tx.send(Input::Configuration(cfg));
    }

    /// Whether new requests are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.shared.configuration.borrow().is_some()
    }

    /// Whether the entry is stopping.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shared.shutting_down.get()
    }

    /// Says that the entry is about to stop: it is not ready any more, but still takes requests.
    pub fn prepare_shutdown(&self) {
        self.shared.shutting_down.set(true);
    }

    /// Asks the entry to take no new requests and to end when all have been answered.
    pub fn shut_down(&self) {
        self.prepare_shutdown();
        let _ = self.tx.send(Input::Shutdown);
    }

    /// Tells the core something.
    pub fn event(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Sends a frame of the shared documents to a peer, if there is a connection to it.
    pub fn send(&self, peer: ProcessName, frame: Box<Frame>) {
        let _ = self.tx.send(Input::Send { peer, frame });
    }

    /// A picture of the entry; none when it has ended.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Status(tx)).ok()?;
        rx.await.ok()
    }

    /// Hands a request over; none when the entry has ended.
    pub(crate) async fn submit(&self, submission: Submission) -> Option<AnswerParts> {
        let (parts, rx) = unbounded_channel();
        let (id_tx, id_rx) = oneshot::channel();
        let input = Input::Submit { submission: Box::new(submission), parts, id: id_tx };
        self.tx.send(input).ok()?;
        let id = id_rx.await.ok()?;
        Some(AnswerParts::new(id, rx, self.tx.clone()))
    }
}
