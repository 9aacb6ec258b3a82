//! The sending side of a connection.

use daisychute_proto::{Frame, Goodbye, GoodbyeReason};
use tokio::sync::mpsc::UnboundedSender;

use crate::LinkId;

/// A handle for sending frames on one connection. Frames sent after the connection has ended are dropped.
///
/// The queue is unbounded: senders limit the bytes in flight by the windows of their streams.
#[derive(Debug, Clone)]
pub struct Link {
    id: LinkId,
    tx: UnboundedSender<Frame>,
}

impl Link {
    pub(crate) const fn new(id: LinkId, tx: UnboundedSender<Frame>) -> Self {
        Self { id, tx }
    }

    /// Returns the identifier of the connection.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame for sending.
    pub fn send(&self, frame: impl Into<Frame>) {
        // A closed channel means that the connection has ended, which its owner learns from `LinkEvent::Down`.
        let _ = self.tx.send(frame.into());
    }

    /// Queues a goodbye frame with this reason, which asks the other side to close the connection.
    pub fn close(&self, reason: GoodbyeReason) {
        self.send(Goodbye { reason });
    }
}
