//! Watch: a long-lived response that delivers the changes to the objects of a kind, one JSON object per line.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::timeout;
use awc::ClientResponse;
use futures_util::{Stream, StreamExt, stream};
use serde::Deserialize;

use super::{CallError, MAX_OBJECT_BYTES, UnavailableCause};
use crate::{CallRateLimiter, Metadata, Object, WatchEvent, WatchKind};

/// Maximum length of a line: an object and 4 KiB for the JSON around it.
const MAX_LINE_BYTES: usize = MAX_OBJECT_BYTES + 4_096;

/// One of the `max_watches` slots of the rate limiter. Dropping it frees the slot.
pub(super) struct WatchSlot {
    rate_limiter: Rc<RefCell<CallRateLimiter>>,
}

impl WatchSlot {
    pub(super) fn new(rate_limiter: Rc<RefCell<CallRateLimiter>>) -> Self {
        Self { rate_limiter }
    }
}

impl Drop for WatchSlot {
    fn drop(&mut self) {
        self.rate_limiter.borrow_mut().release_watch();
    }
}

/// An open watch. Dropping it closes the response and frees its slot in the rate limiter.
pub struct Watch {
    response: ClientResponse,
    _slot: WatchSlot,
    idle_timeout: Duration,
    // Received bytes that were not parsed yet. Invariant: at most `MAX_LINE_BYTES` and one chunk.
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
    pub(super) fn new(response: ClientResponse, slot: WatchSlot, idle_timeout: Duration) -> Self {
        Self { response, _slot: slot, idle_timeout, buf: Vec::new() }
    }

    /// Waits for the next change or bookmark.
    ///
    /// # Errors
    ///
    /// The watch ended, received nothing for its idle timeout, or received a malformed or overlong line. Open a new
    /// watch from the version of the last event.
    pub async fn next_event(&mut self) -> Result<WatchEvent, CallError> {
        loop {
            if let Some(end) = self.buf.iter().position(|it| *it == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                if !line.trim_ascii().is_empty() {
                    return parse_line(&line);
                }
            } else {
                self.receive_chunk().await?;
            }
        }
    }

    /// Turns the watch into a stream of events that ends after the first error.
    pub fn into_stream(self) -> impl Stream<Item = Result<WatchEvent, CallError>> {
        stream::unfold(Some(self), async |watch| {
            let mut watch = watch?;
            match watch.next_event().await {
                Ok(event) => Some((Ok(event), Some(watch))),
                Err(error) => Some((Err(error), None)),
            }
        })
    }

    async fn receive_chunk(&mut self) -> Result<(), CallError> {
        let chunk = timeout(self.idle_timeout, self.response.next())
            .await
            .map_err(|_| CallError::Unavailable(UnavailableCause::Timeout))?;
        let Some(Ok(chunk)) = chunk else {
            return Err(CallError::Unavailable(UnavailableCause::ConnectionLost));
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
    let bookmark = RawBookmark::deserialize(&raw.object).map_err(|_| CallError::Malformed)?;
    let version = bookmark.metadata.resource_version.ok_or(CallError::Malformed)?;
    let object = match raw.kind {
        WatchKind::Bookmark => None,
        _ => Some(Object::deserialize(raw.object).map_err(|_| CallError::Malformed)?),
    };
    Ok(WatchEvent { kind: raw.kind, version, object })
}
