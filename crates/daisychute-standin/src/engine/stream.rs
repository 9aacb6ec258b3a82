//! Server-sent events of a streamed response.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde_json::Value;

use super::faults::ResponseFault;
use super::response::ResponseFormat;
use super::sequence::{Phase, Sequence};
use super::state::State;
use crate::http::BodyAborted;

/// The event that ends a complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// An event with malformed JSON, sent by the `garbage` fault.
const GARBAGE: &str = "data: {\"choices\":[{]%\n\n";

/// One stream of a request's tokens.
struct TokenStream {
    state: Rc<State>,
    sequence: Rc<Sequence>,
    format: ResponseFormat,
    fault: ResponseFault,
    /// Index of the next token to send.
    position: u32,
    queued: VecDeque<Result<Bytes, BodyAborted>>,
    // Invariant: nothing is queued once this is set.
    ended: bool,
}

/// Streams the events of a request from the output token with index `from` on.
pub(super) fn open(
    state: Rc<State>,
    sequence: Rc<Sequence>,
    format: ResponseFormat,
    fault: ResponseFault,
    from: u32,
) -> impl Stream<Item = Result<Bytes, BodyAborted>> {
    let queued = VecDeque::new();
    let events =
        TokenStream { state, sequence, format, fault, position: from, queued, ended: false };
    stream::unfold(events, |mut events| async move {
        let item = events.next().await?;
        Some((item, events))
    })
}

impl TokenStream {
    async fn next(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        loop {
            if let Some(item) = self.queued.pop_front() {
                return Some(item);
            }
            if self.ended {
                return None;
            }
            let sequence = Rc::clone(&self.sequence);
            let progress = sequence.progress();
            self.queue_next();
            if self.queued.is_empty() {
                progress.await;
            }
        }
    }

    /// Queues the next event, if one is due.
    fn queue_next(&mut self) {
        if self.fault.cut_after == Some(self.position) {
            return self.cut();
        }
        let generated = self.sequence.generated();
        match self.sequence.phase() {
            Phase::Cancelled | Phase::Aborted => self.end_with([Err(BodyAborted)]),
            Phase::Finished(_) if self.position + 1 >= generated => self.queue_last(),
            _ if self.position < generated => self.queue_token(),
            _ => {}
        }
    }

    fn queue_token(&mut self) {
        let event = self.format.event(&self.sequence.token(self.position), None);
        self.position += 1;
        self.push_event(&event);
    }

    /// Queues the last token, or an empty text if all tokens have been sent, and the end of the stream.
    fn queue_last(&mut self) {
        let Phase::Finished(reason) = self.sequence.phase() else { return };
        let unsent = self.position < self.sequence.generated();
        let text = if unsent { self.sequence.token(self.position) } else { String::new() };
        let event = self.format.event(&text, Some((reason, &*self.sequence)));
        self.push_event(&event);
        if !self.ended {
            self.end_with([Ok(Bytes::from_static(DONE.as_bytes()))]);
        }
    }

    fn push_event(&mut self, event: &Value) {
        let line = Bytes::from(format!("data: {event}\n\n"));
        if self.fault.truncate {
            let half = line.slice(..line.len() / 2);
            return self.end_with([Ok(half), Err(BodyAborted)]);
        }
        if std::mem::take(&mut self.fault.garbage) {
            self.queued.push_back(Ok(Bytes::from_static(GARBAGE.as_bytes())));
        }
        self.queued.push_back(Ok(line));
    }

    fn cut(&mut self) {
        if self.fault.cut_loses {
            self.state.discard(&self.sequence);
        }
        self.end_with([Err(BodyAborted)]);
    }

    fn end_with<const N: usize>(&mut self, items: [Result<Bytes, BodyAborted>; N]) {
        self.queued.extend(items);
        self.ended = true;
    }
}
