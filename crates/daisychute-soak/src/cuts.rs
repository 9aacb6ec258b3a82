//! Counts streams that clients resume at fronts that are cut off, or were so a moment ago.

use std::fmt;
use std::time::Duration;

use tokio::time::Instant;

use crate::checks::RequestRecord;
use crate::versions::last_event;

/// Time after the end of a cut for which resumptions at its front count.
const LATE_PERIOD: Duration = Duration::from_secs(5);

/// A time in which a front doesn't hear others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Cut {
    pub(crate) front: usize,
    /// The fronts that it doesn't hear, and that don't hear it.
    pub(crate) others: Vec<usize>,
    /// Whether the store doesn't respond to it either.
    pub(crate) from_store: bool,
    pub(crate) begins_at: Instant,
    pub(crate) ends_at: Instant,
}

impl Cut {
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        (self.begins_at..self.ends_at).contains(&now)
    }

    /// Whether these two fronts don't hear each other.
    pub(crate) fn separates(&self, a: usize, b: usize) -> bool {
        (self.front == a && self.others.contains(&b))
            || (self.front == b && self.others.contains(&a))
    }

    fn concerns(&self, front: usize, at: Instant) -> bool {
        self.front == front && self.begins_at <= at && at < self.ends_at + LATE_PERIOD
    }
}

/// Resumptions at fronts that were cut off then, or no longer than [`LATE_PERIOD`] before.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct CutCounts {
    cuts: usize,
    /// Resumptions in which the stream went on.
    went_on: usize,
    /// Resumptions that were refused with 503.
    refused: usize,
    /// Those that had another status, or no response.
    failed: usize,
}

impl CutCounts {
    /// Counts the resumptions among the attempts at streams. `front_of` returns the front that an attempt was sent to.
    pub(crate) fn new(
        cuts: &[Cut],
        streams: &[Vec<RequestRecord>],
        front_of: impl Fn(&RequestRecord) -> Option<usize>,
    ) -> Self {
        let mut counts = Self { cuts: cuts.len(), ..Self::default() };
        for stream in streams {
            for (number, attempt) in stream.iter().enumerate() {
                let front = front_of(attempt).filter(|_| last_event(&stream[..number]) > 0);
                let is_late = |front| cuts.iter().any(|it| it.concerns(front, attempt.sent_at));
                if front.is_some_and(is_late) {
                    counts.count(attempt);
                }
            }
        }
        counts
    }

    fn count(&mut self, attempt: &RequestRecord) {
        match attempt.response.as_ref().map(|it| it.status) {
            Some(200) => self.went_on += 1,
            Some(503) => self.refused += 1,
            _ => self.failed += 1,
        }
    }

    /// Whether streams were resumed at a front that was cut off.
    pub(crate) const fn has_cases(&self) -> bool {
        self.went_on + self.refused > 0
    }
}

impl fmt::Display for CutCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cuts, went_on, refused, failed } = self;
        let resumptions = went_on + refused + failed;
        write!(
            f,
            "{cuts} cuts, {resumptions} resumptions at fronts cut off at most {LATE_PERIOD:?} before: {went_on} went on, {refused} refused, {failed} failed"
        )
    }
}
