//! What a replay measured.

use std::time::Duration;

use daisychute_core::{Precedence, Time};
use hdrhistogram::Histogram;

use super::flight::{End, Flight};
use crate::trace::{Request, Trace, Work};

/// Roles and load at one time of a replay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Seconds after the start.
    pub at: f64,
    /// Engines that prefill.
    pub prefill: u32,
    /// Engines that decode.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
    /// Engines that change their role, drain for it, or are lost.
    pub away: u32,
    /// Work that arrived in the span before, within its target in the end.
    pub good: f64,
    /// Work that arrived in the span before.
    pub offered: f64,
}

/// What a replay measured.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Work of the engines that was completed within its class's target, as a part of what was offered.
    pub goodput: f64,
    /// The same of interactive work only.
    pub interactive: f64,
    /// Requests of classes that come first that met their target, as a part of all such.
    pub first_classes: f64,
    /// Role changes that were started.
    pub role_changes: u32,
    /// Of the requests with a target for it.
    pub p95_first_token: Duration,
    /// Of the requests with a target for it.
    pub p95_between_tokens: Duration,
    /// Requests that were refused in the end, as a part of all.
    pub refused: f64,
    /// Prompt tokens that engines had cached, as a part of all that they were given.
    pub cached: f64,
    /// The course of the replay.
    pub samples: Vec<Sample>,
}

/// The work of a request at the least cost, in microseconds of an engine. It is its weight in the goodput.
pub(crate) fn weight(trace: &Trace, request: &Request) -> f64 {
    if trace.header.classes[usize::from(request.class)].work != Work::Completion {
        return 0.0;
    }
    trace.header.deployment.speed.least_work(request.prompt_tokens, request.output_tokens)
}

impl Report {
    /// The span of one sample, in seconds.
    pub const SAMPLE: f64 = 2.0;

    pub(super) fn new(trace: &Trace, flights: &[Flight], gaps: &Histogram<u64>) -> Self {
        let mut sums = Sums::default();
        let mut first_tokens = histogram();
        for (request, flight) in trace.requests.iter().zip(flights) {
            sums.add(trace, request, flight);
            let class = &trace.header.classes[usize::from(request.class)];
            let has_target =
                class.work == Work::Completion && class.class.targets.first_token.is_some();
            if let (true, Some(first)) = (has_target, flight.first) {
                first_tokens.saturating_record(micros(first.since(request.at())));
            }
        }
        Self {
            goodput: ratio(sums.good, sums.offered),
            interactive: ratio(sums.interactive_good, sums.interactive),
            first_classes: ratio(sums.first_good, sums.first),
            p95_first_token: Duration::from_micros(first_tokens.value_at_quantile(0.95)),
            p95_between_tokens: Duration::from_micros(gaps.value_at_quantile(0.95)),
            refused: ratio(sums.refused, flights.len() as f64),
            ..Self::default()
        }
    }

    /// Fills in the work of each sample.
    pub(super) fn fill_samples(&mut self, trace: &Trace, flights: &[Flight]) {
        for (request, flight) in trace.requests.iter().zip(flights) {
            let place = (f64::from(request.at_ms) / 1e3 / Self::SAMPLE) as usize;
            let Some(sample) = self.samples.get_mut(place) else { continue };
            let weight = weight(trace, request);
            sample.offered += weight;
            if is_good(trace, request, flight) {
                sample.good += weight;
            }
        }
    }
}

#[derive(Debug, Default)]
struct Sums {
    offered: f64,
    good: f64,
    interactive: f64,
    interactive_good: f64,
    first: f64,
    first_good: f64,
    refused: f64,
}

impl Sums {
    fn add(&mut self, trace: &Trace, request: &Request, flight: &Flight) {
        let class = &trace.header.classes[usize::from(request.class)].class;
        let good = f64::from(u8::from(is_good(trace, request, flight)));
        let weight = weight(trace, request);
        self.offered += weight;
        self.good += good * weight;
        match class.precedence {
            Precedence::First => {
                self.first += 1.0;
                self.first_good += good;
            }
            Precedence::Interactive => {
                self.interactive += weight;
                self.interactive_good += good * weight;
            }
            Precedence::MayWait => {}
        }
        if matches!(flight.end, Some(End::Refused(_)) | None) {
            self.refused += 1.0;
        }
    }
}

fn is_good(trace: &Trace, request: &Request, flight: &Flight) -> bool {
    let class = &trace.header.classes[usize::from(request.class)].class;
    flight.is_good(request.at(), class)
}

/// Microseconds up to two minutes, with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are in order")
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

/// The number of the sample that a time falls into.
pub(super) fn sample_place(now: Time) -> usize {
    (now.as_micros() as f64 / 1e6 / Report::SAMPLE) as usize
}
