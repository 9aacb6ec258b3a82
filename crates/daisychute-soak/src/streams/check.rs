//! Checks streams against what their clients asked for.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use daisychute_platform_standin::StopWay;

use super::deadlines::StopCounts;
use super::departures::DepartureCounts;
use super::ends::Ends;
use super::rough::RoughCounts;
use super::tails::Tails;
use crate::checks::{RequestRecord, Violation};

/// What a client asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Kind {
    /// Whether a broken stream may be resumed.
    pub(crate) resumable: bool,
    /// Whether the worker sends chunks; else the body ends with its connection.
    pub(crate) chunked: bool,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.resumable { "resumable, " } else { "not resumable, " })?;
        f.write_str(if self.chunked { "chunked" } else { "without length" })
    }
}

/// A stream with all attempts at it.
#[derive(Debug)]
pub(crate) struct StreamRecord {
    pub(crate) kind: Kind,
    /// Number of events of the whole stream.
    pub(crate) events: u32,
    /// Time that the client gives each attempt.
    pub(crate) deadline: Duration,
    pub(crate) attempts: Vec<RequestRecord>,
    /// Time from the last event to the end; `None` if it wasn't measured.
    pub(crate) tail: Option<Duration>,
}

/// How a stream ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Whole,
    /// The response looks whole and lacks the last events.
    CutUnseen,
    /// Like [`Outcome::CutUnseen`]; its worker ended it in order, and stayed. Nothing on the wire tells, so that these are
    /// counted apart. For a stream that may be resumed another worker could be asked, which a test of the fronts expects.
    Truncated,
    OutOfOrder,
    TwoVersions,
    /// The stream is broken off, and the client can tell.
    BrokenOff,
    /// The last attempt was refused.
    Refused,
    /// The connection of the last attempt ended before a response.
    Unanswered,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "whole",
            Self::CutUnseen => "looks whole and isn't",
            Self::Truncated => "truncated by a worker that stays",
            Self::OutOfOrder => "out of order",
            Self::TwoVersions => "of two versions",
            Self::BrokenOff => "broken off",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        })
    }
}

impl Outcome {
    const fn is_violation(self) -> bool {
        matches!(self, Self::CutUnseen | Self::OutOfOrder | Self::TwoVersions)
    }
}

/// The events of an attempt.
struct Received<'a> {
    /// Numbers and software versions of the whole events up to the first malformed one.
    events: Vec<(u32, &'a str)>,
    /// Whether an event isn't one of this request.
    is_malformed: bool,
    /// Whether the body ends within an event.
    is_partial: bool,
}

impl<'a> Received<'a> {
    fn parse(attempt: &'a RequestRecord) -> Self {
        let body = attempt.response.as_ref().filter(|it| it.status == 200);
        let mut texts: Vec<_> = body.map_or("", |it| it.body.as_str()).split("\n\n").collect();
        let rest = texts.pop().unwrap_or_default();
        let events: Vec<_> = texts.iter().map_while(|it| event(it, &attempt.id)).collect();
        Self { is_malformed: events.len() < texts.len(), events, is_partial: !rest.is_empty() }
    }
}

/// Parses an event of a request. Returns its number and the software version of its worker.
fn event<'a>(text: &'a str, request: &str) -> Option<(u32, &'a str)> {
    let (number, data) = text.strip_prefix("id: ")?.split_once("\ndata: ")?;
    let data = data.strip_prefix(request)?.strip_prefix('-')?.strip_prefix(number)?;
    let version = data.strip_prefix('@')?.split(' ').next()?;
    Some((number.parse().ok()?, version))
}

impl StreamRecord {
    /// The number of the last event that the client has; 0 if it has none.
    pub(crate) fn last_event(&self) -> u32 {
        let last = |it| Received::parse(it).events.last().map(|it| it.0);
        self.attempts.iter().rev().find_map(last).unwrap_or(0)
    }

    /// The id of the first attempt that had an event.
    pub(crate) fn first_with_events(&self) -> Option<&str> {
        let has_events = |it: &&RequestRecord| !Received::parse(it).events.is_empty();
        self.attempts.iter().find(has_events).map(|it| it.id.as_str())
    }

    /// Whether the client takes the stream for whole.
    pub(crate) fn looks_whole(&self) -> bool {
        let response = self.attempts.last().and_then(|it| it.response.as_ref());
        response.is_some_and(|it| it.status == 200 && it.whole)
    }

    fn outcome(&self, ends: &Ends) -> Outcome {
        let received: Vec<_> = self.attempts.iter().map(Received::parse).collect();
        let events: Vec<_> = received.iter().flat_map(|it| &it.events).collect();
        let is_malformed = received.iter().any(|it| it.is_malformed);
        if is_malformed || !events.iter().zip(1..).all(|(event, number)| event.0 == number) {
            return Outcome::OutOfOrder;
        }
        if events.iter().map(|it| it.1).collect::<BTreeSet<_>>().len() > 1 {
            return Outcome::TwoVersions;
        }
        if self.looks_whole() {
            let ends_inside = received.last().is_some_and(|it| it.is_partial);
            if events.len() == self.events as usize && !ends_inside {
                return Outcome::Whole;
            }
            let last_event = events.last().map_or(0, |it| it.0);
            let last = self.attempts.last();
            let is_truncated = last.is_some_and(|it| ends.is_truncated(it, last_event));
            let is_truncated = is_truncated && !ends_inside;
            return if is_truncated { Outcome::Truncated } else { Outcome::CutUnseen };
        }
        if !events.is_empty() {
            return Outcome::BrokenOff;
        }
        match self.attempts.last().and_then(|it| it.response.as_ref()) {
            Some(it) if it.status == 200 => Outcome::BrokenOff,
            Some(_) => Outcome::Refused,
            None => Outcome::Unanswered,
        }
    }

    /// Attempts that went on with the stream of earlier ones.
    fn resumptions(&self) -> usize {
        let starts =
            self.attempts.iter().filter_map(|it| Received::parse(it).events.first().map(|it| it.0));
        starts.skip(1).count()
    }

    /// Attempts that were answered and had not ended before their deadline.
    fn attempts_at_deadline(&self) -> usize {
        let answered = self.attempts.iter().filter(|it| it.response.is_some());
        answered.filter(|it| it.ended_at - it.sent_at >= self.deadline).count()
    }

    /// What the client was told when it asked to go on and couldn't.
    fn refused_resumptions(&self) -> impl Iterator<Item = &str> {
        let has_events = |it: &RequestRecord| !Received::parse(it).events.is_empty();
        let attempts = self.attempts.iter().skip_while(move |it| !has_events(it));
        let responses = attempts.filter_map(|it| it.response.as_ref());
        responses.filter(|it| it.status != 200).map(|it| it.body.as_str())
    }

    fn violation(&self, outcome: Outcome, end: &str, timeline: &str) -> Violation {
        let Self { kind, events, attempts, .. } = self;
        let attempts: Vec<_> = attempts.iter().map(describe).collect();
        let attempts = attempts.join("; ");
        Violation::new(format!(
            "stream of {events} events ({kind}) {outcome}, {end}, {timeline}: {attempts}"
        ))
    }
}

/// Describes what a client received.
fn describe(attempt: &RequestRecord) -> String {
    let Some(response) = &attempt.response else { return format!("{} unanswered", attempt.id) };
    let Received { events, is_malformed, is_partial } = Received::parse(attempt);
    let version = events.first().map_or("", |it| it.1);
    let numbers: Vec<_> = events.iter().map(|it| it.0.to_string()).collect();
    format!(
        "{} {} of {} {version} [{}] malformed: {is_malformed}, partial: {is_partial}, looks whole: {}",
        attempt.id,
        response.status,
        response.header("x-server-seal").unwrap_or("none"),
        numbers.join(" "),
        response.whole,
    )
}

/// How the streams of each kind ended.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    kinds: BTreeMap<Kind, KindCounts>,
    /// How workers left; `None` if all of them ended at once.
    pub(super) departures: Option<DepartureCounts>,
    /// What happened in rough conditions; `None` without them.
    pub(super) rough: Option<RoughCounts>,
    /// Whether streams must have reached their deadline.
    pub(super) has_deadlines: bool,
}

#[derive(Debug, Default)]
struct KindCounts {
    outcomes: BTreeMap<Outcome, usize>,
    /// Streams whose worker ended while they were in flight.
    disrupted: usize,
    /// Attempts that went on with the stream of an earlier one.
    resumptions: usize,
    /// What clients were told that asked to go on with a stream and couldn't, with their number.
    refused_resumptions: BTreeMap<String, usize>,
    /// Streams with violations, by what ended during their last attempt.
    violations: BTreeMap<String, usize>,
    /// Attempts that were broken off although a worker had sent all events, by what ended meanwhile.
    cut_whole: BTreeMap<String, usize>,
    /// How long whole streams took to end.
    tails: Tails,
    /// Attempts that were answered and had not ended before their deadline, as clients see it.
    at_deadline: usize,
    /// Attempts that workers stopped at their deadline, or ended in order since they left.
    stops: StopCounts,
}

impl Counts {
    /// Counts and checks streams.
    pub(super) fn check(
        streams: &[StreamRecord],
        ends: &Ends,
    ) -> (Self, Vec<(Violation, Vec<String>)>) {
        let (mut counts, mut violations) = (Self::default(), Vec::new());
        for stream in streams {
            let kind = counts.kinds.entry(stream.kind).or_default();
            let outcome = stream.outcome(ends);
            *kind.outcomes.entry(outcome).or_default() += 1;
            kind.resumptions += stream.resumptions();
            for told in stream.refused_resumptions() {
                *kind.refused_resumptions.entry(told.to_owned()).or_default() += 1;
            }
            let is_disrupted = stream.attempts.iter().any(|it| ends.has_worker_of(it));
            kind.disrupted += usize::from(is_disrupted);
            kind.count_cut(&stream.attempts, ends);
            kind.at_deadline += stream.attempts_at_deadline();
            for stopped in stream.attempts.iter().flat_map(|it| ends.stopped(it)) {
                kind.stops.add(stopped);
            }
            if let Some(tail) = stream.tail.filter(|_| outcome == Outcome::Whole) {
                kind.tails.add(tail);
            }
            if outcome.is_violation() {
                let ids = stream.attempts.iter().map(|it| it.id.clone()).collect();
                let last = stream.attempts.last();
                let end = last.map(|it| ends.describe(it)).unwrap_or_default();
                let timeline = last.map(|it| ends.timeline(it)).unwrap_or_default();
                violations.push((stream.violation(outcome, &end, &timeline), ids));
                *kind.violations.entry(end).or_default() += 1;
            }
        }
        (counts, violations)
    }

    /// The cases that a run must have and this one hasn't.
    pub(crate) fn missing_cases(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for (resumable, chunked) in [(true, true), (true, false), (false, true), (false, false)] {
            let kind = Kind { resumable, chunked };
            let counts = self.kinds.get(&kind);
            let whole = counts.and_then(|it| it.outcomes.get(&Outcome::Whole)).copied();
            if whole.unwrap_or_default() == 0 {
                missing.push(format!("{kind}: none whole"));
            }
            if counts.is_none_or(|it| it.disrupted == 0) {
                missing.push(format!("{kind}: none disrupted"));
            }
        }
        if self.kinds.iter().all(|(_, it)| it.resumptions == 0) {
            missing.push("none resumed".to_owned());
        }
        if self.has_deadlines && self.kinds.values().all(|it| it.at_deadline == 0) {
            missing.push("no stream reached its deadline".to_owned());
        }
        if self.has_deadlines && self.count_stops(&StopWay::AT_DEADLINE) == 0 {
            missing.push("no stream stopped by a worker at its deadline".to_owned());
        }
        // Other streams hardly outlive the time for which leaving workers serve.
        let leave = self.departures.is_some() && self.has_deadlines;
        if leave && self.count_stops(&[StopWay::LeavingLastChunk]) == 0 {
            missing.push("no stream ended in order by a worker that leaves".to_owned());
        }
        missing.extend(self.departures.iter().flat_map(DepartureCounts::missing_cases));
        missing.extend(self.rough.iter().flat_map(RoughCounts::missing_cases));
        missing
    }

    /// Number of attempts that workers stopped in these ways.
    fn count_stops(&self, ways: &[StopWay]) -> usize {
        let kinds = self.kinds.values();
        kinds.flat_map(|kind| ways.iter().map(|way| kind.stops.count(*way))).sum()
    }
}

impl KindCounts {
    /// Counts the attempts at a stream that were cut although they were whole.
    fn count_cut(&mut self, attempts: &[RequestRecord], ends: &Ends) {
        let is_cut = |it: &&RequestRecord| {
            it.response.as_ref().is_some_and(|it| it.status == 200 && !it.whole)
        };
        for attempt in attempts.iter().filter(is_cut).filter(|it| ends.has_sent(it)) {
            *self.cut_whole.entry(ends.describe(attempt)).or_default() += 1;
        }
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, counts) in &self.kinds {
            let KindCounts {
                outcomes,
                disrupted,
                resumptions,
                refused_resumptions,
                violations,
                cut_whole,
                tails,
                at_deadline,
                stops,
            } = counts;
            let streams: usize = outcomes.values().sum();
            write!(f, "\n  {kind}: {streams} streams")?;
            for (outcome, count) in outcomes {
                write!(f, ", {count} {outcome}")?;
            }
            write!(
                f,
                "; {disrupted} disrupted, {resumptions} resumptions, refused ones {refused_resumptions:?}; violations {violations:?}; broken off though all events were sent {cut_whole:?}; last event to end {tails}; {at_deadline} attempts reached their deadline, {stops}"
            )?;
        }
        self.departures.as_ref().map_or(Ok(()), |it| it.fmt(f))?;
        self.rough.as_ref().map_or(Ok(()), |it| it.fmt(f))
    }
}
