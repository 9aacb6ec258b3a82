//! Handle to a running entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{Configuration, ProcessName, ProcessStatus};
use daisychute_proto::Frame;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use super::Input;
use crate::clients::ResponseParts;
use crate::core::{Event, Submission};

/// Handle to a running entry, for use on the entry's thread.
#[derive(Debug, Clone)]
pub struct EntryHandle {
    tx: UnboundedSender<Input>,
    shared: Rc<SharedState>,
}

#[derive(Debug, Default)]
struct SharedState {
    configuration: RefCell<Option<Arc<Configuration>>>,
    shutdown_announced: Cell<bool>,
}

impl EntryHandle {
    pub(super) fn new(tx: UnboundedSender<Input>) -> Self {
        Self { tx, shared: Rc::default() }
    }

    /// Returns the configuration in force; `None` until the first one was accepted.
    #[must_use]
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.borrow().clone()
    }

    /// Replaces the configuration in force.
    pub fn configure(&self, cfg: Arc<Configuration>) {
        self.shared.configuration.replace(Some(cfg.clone()));
        let _ = self.tx.send(Input::Configuration(cfg));
    }

    /// Whether the entry is ready for new requests: it has a configuration, and no shutdown was announced.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_shutdown_announced() && self.shared.configuration.borrow().is_some()
    }

    /// Whether the shutdown was announced; new requests may still be accepted.
    #[must_use]
    pub fn is_shutdown_announced(&self) -> bool {
        self.shared.shutdown_announced.get()
    }

    /// Announces the shutdown: the entry stops being ready, but still accepts requests that end within `drain`. After
    /// that, requests that are still open are refused or cut.
    pub fn prepare_shutdown(&self, drain: Duration) {
        self.shared.shutdown_announced.set(true);
        let _ = self.tx.send(Input::PrepareShutdown { drain });
    }

    /// Makes the entry refuse new requests and end once all requests are finished, after
    /// [`EntryHandle::prepare_shutdown`].
    pub fn shut_down(&self) {
        let _ = self.tx.send(Input::Shutdown);
    }

    /// Passes an event to the core.
    pub fn event(&self, event: Event) {
        let _ = self.tx.send(Input::Event(event));
    }

    /// Sends a frame of the document replication to a peer, if there is a connection to it.
    pub fn send(&self, peer: ProcessName, frame: Box<Frame>) {
        let _ = self.tx.send(Input::Send { peer, frame });
    }

    /// Returns the current status of the entry; `None` if its task has ended.
    pub async fn status(&self) -> Option<ProcessStatus> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(Input::Status(tx)).ok()?;
        rx.await.ok()
    }

    /// Submits a request. Returns `None` if the entry's task has ended.
    pub(crate) async fn submit(&self, submission: Submission) -> Option<ResponseParts> {
        let (parts, rx) = unbounded_channel();
        let (id_tx, id_rx) = oneshot::channel();
        let input = Input::Submit { submission: Box::new(submission), parts, id: id_tx };
        self.tx.send(input).ok()?;
        let id = id_rx.await.ok()?;
        Some(ResponseParts::new(id, rx, self.tx.clone()))
    }
}
