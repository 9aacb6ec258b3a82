//! Splits a stream of server-sent events at the ends of events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Returns complete events and buffers an incomplete one, so that another endpoint can continue the stream after the
/// last complete event. Lines end as the format allows: with a line feed, a carriage return, or both.
///
/// ```
/// use daisychute_front::EventFramer;
///
/// let mut framer = EventFramer::default();
/// assert_eq!(framer.push(b"id: 1\ndata: a\n\nid: 2\nda"), Some("id: 1\ndata: a\n\n".into()));
/// assert_eq!(framer.last_id().as_deref(), Some("1"));
/// assert_eq!(framer.push(b"ta: b\n\n"), Some("id: 2\ndata: b\n\n".into()));
/// ```
#[derive(Debug, Default)]
pub struct EventFramer {
    // Holds no complete event after `push`.
    partial: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventFramer {
    /// Appends bytes and returns the events that are complete now. `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The end of an event may span old and new bytes.
        let search_start = self.partial.len().saturating_sub(LONGEST_END.len());
        self.partial.extend_from_slice(bytes);
        let end = search_start + last_end(&self.partial[search_start..])?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Removes and returns the incomplete event. `None` if there is none.
    pub fn take_partial(&mut self) -> Option<Bytes> {
        let partial = self.partial.split().freeze();
        (!partial.is_empty()).then_some(partial)
    }

    /// Returns the length of the incomplete event, in bytes.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether the bytes so far end inside an event. Blank lines and comments after the last event belong to none.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.partial.split_inclusive(|it| is_line_end(*it));
        lines.any(|it| !is_blank(it) && !is_whole_comment(it))
    }

    /// Drops the incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

/// The longest sequence that ends an event.
const LONGEST_END: &[u8] = b"\r\n\r\n";

/// Returns the position after the last end of an event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).rev().find(|at| ends_event(&bytes[..=*at])).map(|at| at + 1)
}

/// Whether the bytes end with a line end and a blank line.
fn ends_event(bytes: &[u8]) -> bool {
    let without_blank_line = bytes
        .strip_suffix(b"\r\n")
        .or_else(|| bytes.split_last().filter(|it| is_line_end(*it.0)).map(|it| it.1));
    without_blank_line.and_then(<[u8]>::last).is_some_and(|it| is_line_end(*it))
}

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn is_blank(line: &[u8]) -> bool {
    line.iter().all(|it| is_line_end(*it))
}

fn is_whole_comment(line: &[u8]) -> bool {
    line.starts_with(b":") && line.last().is_some_and(|it| is_line_end(*it))
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.rsplit(|it| is_line_end(*it));
    let value = lines.filter_map(|it| it.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(Arc::from(text.trim()))
}
