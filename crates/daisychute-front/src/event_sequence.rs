//! Checks that the events of a stream come in order.

use crate::EventNumbering;

/// Why an event can't follow the events before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Disorder {
    /// The event, or one after it, has come before.
    #[error("event {number} follows event {after}")]
    Repeated {
        /// Number of the event.
        number: u64,
        /// Number of the event before it.
        after: u64,
    },
    /// Events between the two are missing.
    #[error("event {number} follows event {after}, and others are missing")]
    Missing {
        /// Number of the event.
        number: u64,
        /// Number of the event before it; 0 at the beginning of a stream.
        after: u64,
    },
}

impl Disorder {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Repeated { .. } => "repeated",
            Self::Missing { .. } => "missing",
        }
    }
}

/// The order of a stream's events so far, over all runs that contribute to it.
///
/// Only ids that are whole numbers have an order; events with other ids or none are accepted anywhere.
///
/// ```
/// use daisychute_front::{Disorder, EventNumbering, EventSequence};
///
/// let mut sequence = EventSequence::new(EventNumbering::Consecutive, None);
/// assert_eq!(sequence.accept(b"id: 1\ndata: a\n\n"), Ok(()));
/// assert_eq!(sequence.accept(b"id: 1\ndata: a\n\n"), Err(Disorder::Repeated { number: 1, after: 1 }));
/// assert_eq!(sequence.accept(b"id: 3\ndata: c\n\n"), Err(Disorder::Missing { number: 3, after: 1 }));
/// assert_eq!(sequence.accept(b"id: 2\ndata: b\n\n"), Ok(()));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventSequence {
    numbering: EventNumbering,
    /// Number of the last accepted event; at first of the last one that the client has from an earlier attempt.
    last: Option<u64>,
    /// Whether an event without a number was accepted: no other run can be told to continue after it.
    has_unnumbered: bool,
}

/// Largest number of the first event of a stream.
const MAX_FIRST_NUMBER: u64 = 1;

impl EventSequence {
    /// Creates a sequence for a client that has the events up to `last`; `None` if it has none.
    #[must_use]
    pub const fn new(numbering: EventNumbering, last: Option<u64>) -> Self {
        Self { numbering, last, has_unnumbered: false }
    }

    /// Accepts a complete event as the next one. A rejected event changes nothing.
    ///
    /// # Errors
    ///
    /// The event can't follow the one before it.
    pub fn accept(&mut self, event: &[u8]) -> Result<(), Disorder> {
        match id(event).and_then(|it| it.parse().ok()) {
            Some(number) => {
                self.check(number)?;
                self.last = Some(number);
            }
            None => self.has_unnumbered |= has_data(event),
        }
        Ok(())
    }

    /// Whether another run can continue the stream: each event so far has a number.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Whether the client has a numbered event.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        matches!(self.last, Some(1..))
    }

    fn check(&self, number: u64) -> Result<(), Disorder> {
        let after = self.last.unwrap_or(0);
        if self.last.is_some_and(|it| number <= it) {
            return Err(Disorder::Repeated { number, after });
        }
        let max_next = self.last.map_or(MAX_FIRST_NUMBER, |it| it.saturating_add(1));
        match self.numbering {
            EventNumbering::Consecutive if number > max_next => {
                Err(Disorder::Missing { number, after })
            }
            EventNumbering::Consecutive | EventNumbering::Increasing => Ok(()),
        }
    }
}

/// Returns the id of an event: the value of its last line of that name.
pub(crate) fn id(event: &[u8]) -> Option<&str> {
    let value = lines(event).filter_map(|it| it.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok().map(str::trim)
}

/// Whether an event has data, without which it is none for its reader.
fn has_data(event: &[u8]) -> bool {
    lines(event).any(|it| it == b"data" || it.starts_with(b"data:"))
}

fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    event.split(|it| matches!(it, b'\n' | b'\r'))
}
