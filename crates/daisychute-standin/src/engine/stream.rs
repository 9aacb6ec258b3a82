//! The server-sent events of a streamed answer.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::Value;

use super::answer::AnswerForm;
use super::faults::AnswerFault;
use super::sequence::{Phase, Sequence};
use super::state::State;
use crate::http::Cut;

/// The event after which a stream ends.
const DONE: &str = "data: [DONE]\n\n";

/// A line that is no event.
const GARBAGE: &str = "data: {\"choices\":[{]%\n\n";

/// One reader of a request's tokens.
struct Reader {
    state: Rc<State>,
    sequence: Rc<Sequence>,
    form: AnswerForm,
    fault: AnswerFault,
    /// The number of the next token to send.
    position: u32,
    queued: VecDeque<Result<Bytes, Cut>>,
    // Invariant: once set nothing is queued any more.
    ended: bool,
}

/// The events of a request from its output token number `from` on.
pub(super) fn open(
    state: Rc<State>,
    sequence: Rc<Sequence>,
    form: AnswerForm,
    fault: AnswerFault,
    from: u32,
) -> impl Stream<Item = Result<Bytes, Cut>> {
    let queued = VecDeque::new();
    let reader = Reader { state, sequence, form, fault, position: from, queued, ended: false };
    stream::unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        Some((item, reader))
    })
}

impl Reader {
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        loop {
            if let Some(item) = self.queued.pop_front() {
                return Some(item);
            }
            if self.ended {
                return None;
            }
            let sequence = Rc::clone(&self.sequence);
            let progress = sequence.progress();
            self.queue();
            if self.queued.is_empty() {
                progress.await;
            }
        }
    }

    /// Queues what is to be sent now.
    fn queue(&mut self) {
        if self.fault.cut_after == Some(self.position) {
            return self.cut();
        }
        let made = self.sequence.made();
        match self.sequence.phase() {
            Phase::Cancelled | Phase::Cut => self.end_with([Err(Cut)]),
            Phase::Finished(_) if self.position + 1 >= made => self.queue_last(),
            _ if self.position < made => self.queue_token(),
            _ => {}
        }
    }

    fn queue_token(&mut self) {
        let event = self.form.event(&self.sequence.token(self.position), None);
        self.position += 1;
        self.push_event(&event);
    }

    /// Queues the last token, or an empty one if all were sent before.
    fn queue_last(&mut self) {
        let Phase::Finished(reason) = self.sequence.phase() else { return };
        let left = self.position < self.sequence.made();
        let text = if left { self.sequence.token(self.position) } else { String::new() };
        let event = self.form.event(&text, Some((reason, &*self.sequence)));
        self.push_event(&event);
        if !self.ended {
            self.end_with([Ok(Bytes::from_static(DONE.as_bytes()))]);
        }
    }

    fn push_event(&mut self, event: &Value) {
        let line = Bytes::from(format!("data: {event}\n\n"));
        if self.fault.truncate {
            let half = line.slice(..line.len() / 2);
            return self.end_with([Ok(half), Err(Cut)]);
        }
        if std::mem::take(&mut self.fault.garbage) {
            self.queued.push_back(Ok(Bytes::from_static(GARBAGE.as_bytes())));
        }
        self.queued.push_back(Ok(line));
    }

    fn cut(&mut self) {
        if self.fault.cut_loses {
            self.state.lose(&self.sequence);
        }
        self.end_with([Err(Cut)]);
    }

    fn end_with<const N: usize>(&mut self, items: [Result<Bytes, Cut>; N]) {
        self.queued.extend(items);
        self.ended = true;
    }
}
