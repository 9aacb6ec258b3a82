//! The parts of one answer, as the entry's task hands them over.

use daisychute_core::{Refusal, RefusalReason, RequestId};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};

use crate::core::{Event, Part};
use crate::shell::Input;

/// The parts of one answer. Tells the core what was taken, and that the caller is gone when it is dropped early.
#[derive(Debug)]
pub(crate) struct AnswerParts {
    id: RequestId,
    rx: UnboundedReceiver<Part>,
    tx: UnboundedSender<Input>,
    ended: bool,
}

impl AnswerParts {
    pub(crate) const fn new(
        id: RequestId,
        rx: UnboundedReceiver<Part>,
        tx: UnboundedSender<Input>,
    ) -> Self {
        Self { id, rx, tx, ended: false }
    }

    pub(crate) const fn id(&self) -> RequestId {
        self.id
    }

    /// The next part. After `End` or `Refused` there is none.
    pub(crate) async fn next(&mut self) -> Option<Part> {
        if self.ended {
            return None;
        }
        let part =
            self.rx.recv().await.unwrap_or(Part::Refused(Refusal::unknown(RefusalReason::Leaving)));
        match &part {
            Part::Data { data, .. } => {
                self.tell(Event::ClientRead { id: self.id, bytes: data.len() as u64 })
            }
            Part::End { .. } | Part::Refused(_) => self.ended = true,
            Part::Head { .. } => {}
        }
        Some(part)
    }

    fn tell(&self, event: Event) {
        // The task is gone only when the process stops.
        let _ = self.tx.send(Input::Event(event));
    }
}

impl Drop for AnswerParts {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(Event::ClientDisconnected { id: self.id });
        }
    }
}
