//! Checks streams that clients resume in a service of several software versions.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use tokio::time::Instant;

use crate::checks::{RequestRecord, Violation};

/// Number of events of a whole stream.
const STREAM_EVENTS: u32 = 8;
/// Number of resumptions from which the share of those that go on is checked.
const MIN_RESUMPTIONS: usize = 12;

/// How many of some attempts succeeded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Share {
    successes: usize,
    attempts: usize,
}

impl Share {
    fn record(&mut self, success: bool) {
        self.attempts += 1;
        self.successes += usize::from(success);
    }

    fn value(self) -> f64 {
        self.successes as f64 / self.attempts.max(1) as f64
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.successes, self.attempts)
    }
}

/// Streams that began and that were resumed, away from unplanned faults.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Resumed {
    /// First attempts that got a stream.
    begun: Share,
    /// Attempts that resumed a stream and went on with it.
    went_on: Share,
    /// What the others were told, with their number.
    refusals: BTreeMap<String, usize>,
}

impl Resumed {
    /// Whether streams began and were resumed.
    pub(crate) const fn has_cases(&self) -> bool {
        self.begun.attempts > 0 && self.went_on.attempts > 0
    }

    /// Whether resumed streams go on less than half as often as new ones begin.
    fn are_mostly_lost(&self) -> bool {
        self.went_on.attempts >= MIN_RESUMPTIONS && self.went_on.value() * 2.0 < self.begun.value()
    }
}

impl fmt::Display for Resumed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { begun, went_on, refusals } = self;
        write!(f, "{begun} streams began, {went_on} resumed ones went on {refusals:?}")
    }
}

/// An event as a client received it: its number, and the software version of the worker that sent it.
type ReceivedEvent<'a> = (u32, &'a str);

/// The whole events of an attempt.
fn events(attempt: &RequestRecord) -> impl Iterator<Item = ReceivedEvent<'_>> {
    let response = attempt.response.as_ref().filter(|it| it.status == 200);
    let body = response.map_or("", |it| it.body.as_str());
    let whole = body.rfind("\n\n").map_or("", |end| &body[..end]);
    whole.split("\n\n").filter_map(|event| {
        let number = event.strip_prefix("id: ")?.split_once('\n')?.0.parse().ok()?;
        Some((number, event.split_once('@')?.1))
    })
}

/// The number of the last event that the client has after these attempts; 0 if it has none.
pub(crate) fn last_event(attempts: &[RequestRecord]) -> u32 {
    attempts.iter().flat_map(events).map(|it| it.0).last().unwrap_or(0)
}

/// Whether the client has the whole stream and knows it.
pub(crate) fn is_whole(attempts: &[RequestRecord]) -> bool {
    let response = attempts.last().and_then(|it| it.response.as_ref());
    response.is_some_and(|it| it.status == 200 && it.whole)
}

/// Returns the streams that hold events of two versions, lack or repeat events, or look whole and aren't; also, whether
/// resumptions were lost. Only attempts count for which `in_touch`, called with the time from which no unplanned fault
/// may have been, says that their front was in touch with the others.
pub(crate) fn check_streams(
    streams: &[Vec<RequestRecord>],
    in_touch: impl Fn(Instant, &RequestRecord) -> bool,
) -> (Vec<Violation>, Resumed) {
    let mut violations: Vec<_> = streams.iter().filter_map(|it| check_stream(it)).collect();
    let mut resumed = Resumed::default();
    for stream in streams {
        for (number, attempt) in stream.iter().enumerate() {
            // A fault may have been while the stream began.
            if in_touch(stream[0].sent_at, attempt) {
                count(attempt, &stream[..number], &mut resumed);
            }
        }
    }
    if resumed.are_mostly_lost() {
        violations.push(Violation::new(format!("resumed streams are lost: {resumed}")));
    }
    (violations, resumed)
}

fn count(attempt: &RequestRecord, earlier: &[RequestRecord], resumed: &mut Resumed) {
    let response = attempt.response.as_ref();
    let success = response.is_some_and(|it| it.status == 200);
    if last_event(earlier) == 0 {
        resumed.begun.record(success);
        return;
    }
    resumed.went_on.record(success);
    if !success {
        let told = response.map_or_else(String::new, |it| it.body.clone());
        *resumed.refusals.entry(told).or_default() += 1;
    }
}

fn check_stream(attempts: &[RequestRecord]) -> Option<Violation> {
    let received: Vec<_> = attempts.iter().flat_map(events).collect();
    let versions: BTreeSet<_> = received.iter().map(|it| it.1).collect();
    let in_order = received.iter().zip(1..).all(|(event, number)| event.0 == number);
    let is_complete = last_event(attempts) == STREAM_EVENTS;
    let fault = if versions.len() > 1 {
        "holds events of two software versions"
    } else if !in_order {
        "lacks or repeats events"
    } else if is_whole(attempts) && !is_complete {
        "looks whole and isn't"
    } else {
        return None;
    };
    let ids: Vec<_> = attempts.iter().map(|it| it.id.as_str()).collect();
    Some(Violation::new(format!("stream of {} {fault}: {received:?}", ids.join(", "))))
}
