//! A watch: the changes of a kind as they happen.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::ClientResponse;
use futures_util::{Stream, StreamExt, stream};
use serde::Deserialize;

use super::{CallError, MAX_OBJECT_BYTES, UnavailableCause};
use crate::{CallRateLimiter, Metadata, Object, WatchEvent, WatchKind};

/// The longest line, in bytes: an object and what stands around it.
const MAX_LINE_BYTES: usize = MAX_OBJECT_BYTES + 4_096;

/// The place of one watch in the call budget.
pub(super) struct Place {
    budget: Rc<RefCell<CallRateLimiter>>,
}

impl Place {
    pub(super) fn new(budget: Rc<RefCell<CallRateLimiter>>) -> Self {
        Self { budget }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.budget.borrow_mut().release_watch();
    }
}

/// An open watch. Dropping it ends the call.
pub struct Watch {
    response: ClientResponse,
    _place: Place,
    silence: Duration,
    // Invariant: at most `MAX_LINE_BYTES` and one chunk.
    buf: Vec<u8>,
}

#[derive(Deserialize)]
struct RawLine {
    #[serde(rename = "type")]
    kind: WatchKind,
    object: serde_json::Value,
}

#[derive(Deserialize)]
struct RawBookmark {
    metadata: Metadata,
}

impl Watch {
    pub(super) fn new(response: ClientResponse, place: Place, silence: Duration) -> Self {
        Self { response, _place: place, silence, buf: Vec::new() }
    }

    /// The next change or bookmark.
    ///
    /// # Errors
    ///
    /// The watch has ended, was silent for too long, or brought something that is no line. Open a new one from the
    /// version of the last event.
    pub async fn next_event(&mut self) -> Result<WatchEvent, CallError> {
        loop {
            if let Some(end) = self.buf.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                if !line.trim_ascii().is_empty() {
                    return parse_line(&line);
                }
            } else {
                self.fill().await?;
            }
        }
    }

    /// The changes as a stream that ends with the first error.
    pub fn into_stream(self) -> impl Stream<Item = Result<WatchEvent, CallError>> {
        stream::unfold(Some(self), async |watch| {
            let mut watch = watch?;
            match watch.next_event().await {
                Ok(event) => Some((Ok(event), Some(watch))),
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    async fn fill(&mut self) -> Result<(), CallError> {
        let chunk = timeout(self.silence, self.response.next())
            .await
            .map_err(|_| CallError::Unavailable(UnavailableCause::Deadline))?;
        let Some(Ok(chunk)) = chunk else {
            return Err(CallError::Unavailable(UnavailableCause::Broken));
        };
        self.buf.extend_from_slice(&chunk);
        if self.buf.len() > MAX_LINE_BYTES && !chunk.contains(&b'\n') {
            return Err(CallError::TooLarge);
        }
        Ok(())
    }
}

fn parse_line(line: &[u8]) -> Result<WatchEvent, CallError> {
    let raw: RawLine = serde_json::from_slice(line).map_err(|_| CallError::Malformed)?;
    let mark = RawBookmark::deserialize(&raw.object).map_err(|_| CallError::Malformed)?;
    let version = mark.metadata.resource_version.ok_or(CallError::Malformed)?;
    let object = match raw.kind {
        WatchKind::Bookmark => None,
        _ => Some(Object::deserialize(raw.object).map_err(|_| CallError::Malformed)?),
    };
    Ok(WatchEvent { kind: raw.kind, version, object })
}
