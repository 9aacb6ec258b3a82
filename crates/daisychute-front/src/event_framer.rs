//! Splits a stream of server-sent events at the ends of events.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use crate::event_sequence::id;
use crate::{Disorder, EventSequence};

/// Returns complete events and buffers an incomplete one, so that another endpoint can continue the stream after the
/// last complete event. Lines end as the format allows: with a line feed, a carriage return, or both.
///
/// Events are returned only as long as they are in order. After one that isn't, nothing more of its run is.
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
    // Holds no complete event after `push`, and nothing after a disorder.
    partial: BytesMut,
    last_id: Option<Arc<str>>,
    sequence: EventSequence,
    /// Why an event of the present run was rejected; `None` as long as the run is in order.
    disorder: Option<Disorder>,
}

impl EventFramer {
    /// Creates a framer for a stream whose events continue this sequence.
    #[must_use]
    pub fn new(sequence: EventSequence) -> Self {
        Self { sequence, ..Self::default() }
    }

    /// Whether another run can continue the stream after the last event.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        self.sequence.is_resumable()
    }

    /// Whether the client has an event of the stream, from this response or from an earlier one.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.sequence.has_begun()
    }

    /// Appends bytes and returns the events that are complete now and in order. `None` if there are none.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        if self.disorder.is_some() {
            return None;
        }
        // The end of an event may span old and new bytes.
        let search_start = self.partial.len().saturating_sub(LONGEST_END.len());
        self.partial.extend_from_slice(bytes);
        let end = search_start + last_end(&self.partial[search_start..])?;
        let complete = self.partial.split_to(end).freeze();
        let events = complete.slice(..self.accept(&complete));
        (!events.is_empty()).then_some(events)
    }

    /// Accepts events up to the first one that is out of order. Returns their length, in bytes.
    fn accept(&mut self, events: &[u8]) -> usize {
        let mut accepted = 0;
        for event in split_events(events) {
            if let Err(disorder) = self.sequence.accept(event) {
                self.disorder = Some(disorder);
                self.partial.clear();
                break;
            }
            accepted += event.len();
            if let Some(id) = id(event) {
                self.last_id = Some(Arc::from(id));
            }
        }
        accepted
    }

    /// Returns why the present run can't go on; `None` as long as its events are in order.
    #[must_use]
    pub const fn disorder(&self) -> Option<Disorder> {
        self.disorder
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

    /// Begins another run of the stream, which continues after the last event. Drops an incomplete one.
    pub fn begin_run(&mut self) {
        self.partial.clear();
        self.disorder = None;
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

/// Splits complete events at their ends.
fn split_events(events: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = events;
    std::iter::from_fn(move || {
        let end = (1..=rest.len()).find(|it| *it == rest.len() || ends_event(&rest[..*it]))?;
        let event;
        (event, rest) = rest.split_at(end);
        Some(event)
    })
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
