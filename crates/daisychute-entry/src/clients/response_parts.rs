//! Receiving end of a response that the entry's task produces.

use daisychute_core::{Refusal, RefusalReason, RequestId};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::core::{Event, ResponsePart};
use crate::shell::Input;

/// Receives the parts of one response. Reports to the core how much was read, and that the client disconnected if it is
/// dropped before the final part.
#[derive(Debug)]
pub(crate) struct ResponseParts {
    id: RequestId,
    rx: UnboundedReceiver<ResponsePart>,
    tx: UnboundedSender<Input>,
    ended: bool,
}

impl ResponseParts {
    pub(crate) const fn new(
        id: RequestId,
        rx: UnboundedReceiver<ResponsePart>,
        tx: UnboundedSender<Input>,
    ) -> Self {
        Self { id, rx, tx, ended: false }
    }

    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// Waits for the next part. Returns `None` after `End` or `Refused`.
    pub(crate) async fn next(&mut self) -> Option<ResponsePart> {
        if self.ended {
            return None;
        }
        let part = self
            .rx
            .recv()
            .await
            .unwrap_or(ResponsePart::Refused(Refusal::unknown(RefusalReason::Leaving)));
        match &part {
            ResponsePart::Data { data, .. } => {
                self.notify_core(Event::ClientRead { id: self.id, bytes: data.len() as u64 })
            }
            ResponsePart::End { .. } | ResponsePart::Refused(_) => self.ended = true,
            ResponsePart::Head { .. } => {}
        }
        Some(part)
    }

    fn notify_core(&self, event: Event) {
        // Sending fails only if the entry's task has ended, which happens at process shutdown.
        let _ = self.tx.send(Input::Event(event));
    }
}

impl Drop for ResponseParts {
    fn drop(&mut self) {
        if !self.ended {
            self.notify_core(Event::ClientDisconnected { id: self.id });
        }
    }
}
