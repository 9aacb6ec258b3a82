//! What a live replay measured.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use daisychute_core::{ClassName, TenantName};
use hdrhistogram::Histogram;

use super::LiveError;
use super::request::Outcome;
use crate::replay::{histogram, weight};
use crate::trace::Trace;

/// What a live replay measured, with histograms by class and tenant.
#[derive(Debug, Clone)]
pub struct LiveReport {
    good: f64,
    offered: f64,
    sent: u32,
    refused: u32,
    failed: u32,
    gaps: Histogram<u64>,
    first_tokens: Histogram<u64>,
    by_group: BTreeMap<(ClassName, TenantName), Histogram<u64>>,
}

impl LiveReport {
    /// Of the gaps between tokens, this part may be longer than the target.
    const LONG_GAPS: f64 = 0.05;
    const TOO_MANY_REQUESTS: u16 = 429;
    const UNAVAILABLE: u16 = 503;

    pub(super) fn new() -> Self {
        Self {
            good: 0.0,
            offered: 0.0,
            sent: 0,
            refused: 0,
            failed: 0,
            gaps: histogram(),
            first_tokens: histogram(),
            by_group: BTreeMap::new(),
        }
    }

    /// Requests that were sent.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Requests that were refused for load.
    #[must_use]
    pub fn refused(&self) -> u32 {
        self.refused
    }

    /// Requests that ended without a whole answer for another reason.
    #[must_use]
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Work completed within its class's target, as a part of what was sent.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        if self.offered > 0.0 { self.good / self.offered } else { 1.0 }
    }

    pub(super) fn add(
        &mut self,
        trace: &Trace,
        place: usize,
        outcome: Result<&Outcome, &LiveError>,
    ) {
        let request = &trace.requests[place];
        let weight = weight(trace, request);
        self.sent += 1;
        self.offered += weight;
        match outcome {
            Ok(it) => {
                self.record(trace, place, it);
                if is_good(trace, place, it) {
                    self.good += weight;
                }
            }
            Err(LiveError::Status { status: Self::TOO_MANY_REQUESTS | Self::UNAVAILABLE }) => {
                self.refused += 1;
            }
            Err(_) => self.failed += 1,
        }
    }

    fn record(&mut self, trace: &Trace, place: usize, outcome: &Outcome) {
        let request = &trace.requests[place];
        let class = &trace.header.classes[usize::from(request.class)].class;
        let first = micros(outcome.first_token);
        if class.targets.between_tokens.is_some() {
            self.first_tokens.saturating_record(first);
            outcome.gaps.iter().for_each(|it| self.gaps.saturating_record(micros(*it)));
        }
        let tenant = trace.header.tenants[usize::from(request.tenant)].clone();
        let group = self.by_group.entry((class.name.clone(), tenant)).or_insert_with(histogram);
        group.saturating_record(first);
    }
}

fn is_good(trace: &Trace, place: usize, outcome: &Outcome) -> bool {
    let class = &trace.header.classes[usize::from(trace.requests[place].class)].class;
    let targets = &class.targets;
    let first_ok = targets.first_token.is_none_or(|it| outcome.first_token <= it);
    let gaps_ok = targets.between_tokens.is_none_or(|target| {
        let long = outcome.gaps.iter().filter(|it| **it > target).count();
        let allowed = (outcome.gaps.len() as f64 * LiveReport::LONG_GAPS).ceil();
        let streamed: Duration = outcome.gaps.iter().sum();
        long as f64 <= allowed && streamed <= target * outcome.gaps.len() as u32
    });
    first_ok && gaps_ok && outcome.total <= class.deadline()
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
        for ((class, tenant), it) in &self.by_group {
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
