//! Splits a stream of events at the ends of events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

/// Passes whole events on and keeps a part of one back, so that another run can go on after the last whole event.
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
    // Holds no whole event after `push`.
    partial: BytesMut,
    last_id: Option<Arc<str>>,
}

impl EventFramer {
    /// Takes bytes in and returns the events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // An end may span the old bytes and the new ones.
        let from = self.partial.len().saturating_sub(END.len());
        self.partial.extend_from_slice(bytes);
        let end = from + last_end(&self.partial[from..])?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// What is left of an event that isn't whole. The framer is empty afterwards.
    pub fn rest(&mut self) -> Option<Bytes> {
        let rest = self.partial.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Drops a part of an event that will never be whole.
    pub fn discard(&mut self) {
        self.partial.clear();
    }

    /// The id of the last whole event that has one.
    #[must_use]
    pub fn last_id(&self) -> Option<Arc<str>> {
        self.last_id.clone()
    }
}

/// The longest end of an event.
const END: &[u8] = b"\r\n\r\n";

/// The position after the last end of an event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len()).rev().find(|at| ends_event(&bytes[..=*at])).map(|at| at + 1)
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(END)
}

fn last_id(events: &[u8]) -> Option<Arc<str>> {
    let lines = events.rsplit(|it| *it == b'\n');
    let value = lines.filter_map(|it| it.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(value).ok()?;
    Some(Arc::from(text.trim()))
}
