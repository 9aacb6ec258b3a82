//! Results of a replay.

use std::time::Duration;

use daisychute_core::{Precedence, Time};
use hdrhistogram::Histogram;

use super::request_state::{RequestEnd, RequestState};
use crate::trace::{Request, Trace, Work};

/// Roles and load at one time of a replay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Time of the sample, in seconds after the start.
    pub at: f64,
    /// Engines that prefill.
    pub prefill: u32,
    /// Engines that decode.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
    /// Engines that are draining, changing their role or lost.
    pub away: u32,
    /// Part of `offered` that met its targets in the end.
    pub good: f64,
    /// Work, in microseconds of an engine, that arrived within [`Report::SAMPLE`] seconds from `at` on.
    pub offered: f64,
}

/// Results of a replay. Shares are from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Share of the offered engine work that was completed within the targets of its class.
    pub goodput: f64,
    /// Goodput of the interactive classes only.
    pub interactive: f64,
    /// Share of the requests of classes with precedence `First` that met their targets.
    pub first_classes: f64,
    /// Role changes that were started.
    pub role_changes: u32,
    /// 95th percentile of the time to first token, over completions whose class has a target for it.
    pub p95_first_token: Duration,
    /// 95th percentile of the inter-token latency, over completions whose class has a target for it.
    pub p95_between_tokens: Duration,
    /// Share of the requests that were refused for good or never ended.
    pub refused: f64,
    /// Completions that the entries counted in the demand; a request that is routed again counts once.
    pub counted_completions: u32,
    /// Share of the prompt tokens that engines found in their prefix cache.
    pub cached: f64,
    /// Roles and load over time, one sample every [`Report::SAMPLE`] seconds.
    pub samples: Vec<Sample>,
}

/// Weight of a request in the goodput: the minimum work for it, in microseconds of an engine; 0 for a call.
pub(crate) fn weight(trace: &Trace, request: &Request) -> f64 {
    if trace.header.classes[usize::from(request.class)].work != Work::Completion {
        return 0.0;
    }
    trace.header.deployment.speed.min_work(request.prompt_tokens, request.output_tokens)
}

impl Report {
    /// Interval between samples, in seconds.
    pub const SAMPLE: f64 = 2.0;

    pub(super) fn new(trace: &Trace, states: &[RequestState], token_gaps: &Histogram<u64>) -> Self {
        let mut totals = Totals::default();
        let mut first_tokens = histogram();
        for (request, state) in trace.requests.iter().zip(states) {
            totals.add(trace, request, state);
            let class = &trace.header.classes[usize::from(request.class)];
            let has_target =
                class.work == Work::Completion && class.class.targets.first_token.is_some();
            if let (true, Some(first)) = (has_target, state.first_token_at) {
                first_tokens.saturating_record(micros(first.since(request.at())));
            }
        }
        Self {
            goodput: ratio(totals.good, totals.offered),
            interactive: ratio(totals.good_interactive, totals.interactive),
            first_classes: ratio(totals.good_first_class_requests, totals.first_class_requests),
            p95_first_token: Duration::from_micros(first_tokens.value_at_quantile(0.95)),
            p95_between_tokens: Duration::from_micros(token_gaps.value_at_quantile(0.95)),
            refused: ratio(totals.refused, states.len() as f64),
            ..Self::default()
        }
    }

    /// Fills in the offered and good work of each sample.
    pub(super) fn fill_samples(&mut self, trace: &Trace, states: &[RequestState]) {
        for (request, state) in trace.requests.iter().zip(states) {
            let index = (f64::from(request.at_ms) / 1e3 / Self::SAMPLE) as usize;
            let Some(sample) = self.samples.get_mut(index) else { continue };
            let weight = weight(trace, request);
            sample.offered += weight;
            if is_good(trace, request, state) {
                sample.good += weight;
            }
        }
    }
}

/// Sums over the requests, from which the shares of a report follow.
#[derive(Debug, Default)]
struct Totals {
    offered: f64,
    good: f64,
    interactive: f64,
    good_interactive: f64,
    first_class_requests: f64,
    good_first_class_requests: f64,
    refused: f64,
}

impl Totals {
    fn add(&mut self, trace: &Trace, request: &Request, state: &RequestState) {
        let class = &trace.header.classes[usize::from(request.class)].class;
        let good = f64::from(u8::from(is_good(trace, request, state)));
        let weight = weight(trace, request);
        self.offered += weight;
        self.good += good * weight;
        match class.precedence {
            Precedence::First => {
                self.first_class_requests += 1.0;
                self.good_first_class_requests += good;
            }
            Precedence::Interactive => {
                self.interactive += weight;
                self.good_interactive += good * weight;
            }
            Precedence::MayWait => {}
        }
        if matches!(state.end, Some(RequestEnd::Refused(_)) | None) {
            self.refused += 1.0;
        }
    }
}

fn is_good(trace: &Trace, request: &Request, state: &RequestState) -> bool {
    let class = &trace.header.classes[usize::from(request.class)].class;
    state.is_good(request.at(), class)
}

/// An empty histogram for microseconds up to two minutes, with three significant digits.
pub(crate) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the lower bound is below the upper one")
}

pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 { part / whole } else { 1.0 }
}

/// Index of the sample that a time falls into.
pub(super) fn sample_index(now: Time) -> usize {
    (now.as_micros() as f64 / 1e6 / Report::SAMPLE) as usize
}
