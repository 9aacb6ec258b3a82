//! The sending side of a connection.

use daisychute_proto::{Frame, Goodbye, GoodbyeReason};
use tokio::sync::mpsc::UnboundedSender;

use crate::LinkId;

/// For sending on one connection. Frames sent after it went down are dropped.
///
/// The queue is unbounded here: senders bound what they have under way by the windows of their streams.
#[derive(Debug, Clone)]
pub struct Link {
    id: LinkId,
    tx: UnboundedSender<Frame>,
}

impl Link {
    pub(crate) const fn new(id: LinkId, tx: UnboundedSender<Frame>) -> Self {
        Self { id, tx }
    }

    /// Which connection.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame.
    pub fn send(&self, frame: impl Into<Frame>) {
        // A closed channel means that the connection is down, which its owner learns by `LinkEvent::Down`.
        let _ = self.tx.send(frame.into());
    }

    /// Says goodbye; the connection closes after what was queued before.
    pub fn close(&self, reason: GoodbyeReason) {
        self.send(Goodbye { reason });
    }
}
