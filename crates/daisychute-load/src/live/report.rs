//! Results of a live replay.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use daisychute_core::{ClassName, TenantName};
use hdrhistogram::Histogram;

use super::LiveError;
use super::request::Outcome;
use crate::replay::{histogram, weight};
use crate::trace::Trace;

/// Results of a live replay. Displayed as a summary line and the times to first token by class and tenant.
#[derive(Debug, Clone)]
pub struct LiveReport {
    // Minimum work of the requests that met their targets and of all, in microseconds of an engine.
    good_work: f64,
    offered_work: f64,
    sent: u32,
    refused: u32,
    failed: u32,
    // Inter-token latencies. All histograms are in microseconds.
    gaps: Histogram<u64>,
    // Times to first token of classes with a target for the inter-token latency.
    first_tokens: Histogram<u64>,
    first_tokens_by_group: BTreeMap<(ClassName, TenantName), Histogram<u64>>,
}

impl LiveReport {
    /// Share of the gaps between tokens that may be longer than the target.
    const MAX_LONG_GAP_SHARE: f64 = 0.05;
    const TOO_MANY_REQUESTS: u16 = 429;
    const SERVICE_UNAVAILABLE: u16 = 503;

    pub(super) fn new() -> Self {
        Self {
            good_work: 0.0,
            offered_work: 0.0,
            sent: 0,
            refused: 0,
            failed: 0,
            gaps: histogram(),
            first_tokens: histogram(),
            first_tokens_by_group: BTreeMap::new(),
        }
    }

    /// Number of requests that were sent, whatever their result.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Number of requests that were refused with status 429 or 503.
    #[must_use]
    pub fn refused(&self) -> u32 {
        self.refused
    }

    /// Number of requests that got no complete response for another reason.
    #[must_use]
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Share of the sent engine work that was completed within the targets of its class; 1 if none was sent.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered_work > 0.0 { self.good_work / self.offered_work } else { 1.0 }
    }

    pub(super) fn add(
        &mut self,
        trace: &Trace,
        index: usize,
        outcome: Result<&Outcome, &LiveError>,
    ) {
        let request = &trace.requests[index];
        let weight = weight(trace, request);
        self.sent += 1;
        self.offered_work += weight;
        match outcome {
            Ok(it) => {
                self.record(trace, index, it);
                if is_good(trace, index, it) {
                    self.good_work += weight;
                }
            }
            Err(LiveError::Status {
                status: Self::TOO_MANY_REQUESTS | Self::SERVICE_UNAVAILABLE,
            }) => {
                self.refused += 1;
            }
            Err(_) => self.failed += 1,
        }
    }

    fn record(&mut self, trace: &Trace, index: usize, outcome: &Outcome) {
        let request = &trace.requests[index];
        let class = &trace.header.classes[usize::from(request.class)].class;
        let first_token = micros(outcome.first_token);
        if class.targets.between_tokens.is_some() {
            self.first_tokens.saturating_record(first_token);
            outcome.gaps.iter().for_each(|it| self.gaps.saturating_record(micros(*it)));
        }
        let tenant = trace.header.tenants[usize::from(request.tenant)].clone();
        let group = self
            .first_tokens_by_group
            .entry((class.name.clone(), tenant))
            .or_insert_with(histogram);
        group.saturating_record(first_token);
    }
}

fn is_good(trace: &Trace, index: usize, outcome: &Outcome) -> bool {
    let class = &trace.header.classes[usize::from(trace.requests[index].class)].class;
    let targets = &class.targets;
    let meets_first_token = targets.first_token.is_none_or(|it| outcome.first_token <= it);
    let meets_gaps = targets.between_tokens.is_none_or(|target| {
        let long_gaps = outcome.gaps.iter().filter(|it| **it > target).count();
        let max_long_gaps = (outcome.gaps.len() as f64 * LiveReport::MAX_LONG_GAP_SHARE).ceil();
        let streaming_time: Duration = outcome.gaps.iter().sum();
        long_gaps as f64 <= max_long_gaps && streaming_time <= target * outcome.gaps.len() as u32
    });
    meets_first_token && meets_gaps && outcome.total <= class.deadline()
}

impl fmt::Display for LiveReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let p95 = |it: &Histogram<u64>| it.value_at_quantile(0.95) as f64 / 1e3;
        let refused = f64::from(self.refused) / f64::from(self.sent.max(1));
        writeln!(
            f,
            "goodput {:.4} p95_first_token {:.0}ms p95_between_tokens {:.1}ms refused {refused:.4} failed {}",
            self.goodput(),
            p95(&self.first_tokens),
            p95(&self.gaps),
            self.failed,
        )?;
        for ((class, tenant), it) in &self.first_tokens_by_group {
            let at = |quantile| it.value_at_quantile(quantile) as f64 / 1e3;
            writeln!(
                f,
                "{class:<18} {tenant:<14} {:>6} p50 {:>8.1}ms p95 {:>8.1}ms p99 {:>8.1}ms",
                it.len(),
                at(0.5),
                at(0.95),
                at(0.99)
            )?;
        }
        Ok(())
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
