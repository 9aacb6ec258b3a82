//! The results of the requests of a load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisychute_standin::service::ServiceSeen;

/// A broken guarantee that the load has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The response was truncated or not JSON, or there was none.
    Cut,
    /// The response is complete, but not the one expected for this request.
    Wrong,
    /// The request was refused without the outcome `not_run`, so it may have run.
    Uncertain,
    /// A non-repeatable call ran more than once.
    Doubled,
    /// A call got a complete response, but no service ran it.
    Missing,
    /// A call was refused with the outcome `not_run`, but a service ran it.
    FalseNotRun,
}

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The response was complete and the expected one.
    Whole,
    /// Refused with the outcome `not_run`.
    NotRun,
    /// A guarantee was broken.
    Failed(Fault),
}

/// The results of the requests of a load.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Number of requests whose response was complete and the expected one.
    pub whole: usize,
    /// Number of requests that were refused with the outcome `not_run`.
    pub not_run: usize,
    /// Every fault found, with the request and the response or error.
    pub faults: Vec<(Fault, String)>,
    /// The longest time from sending a request to the end of its response.
    pub longest: Duration,
    /// When the first and the last request without a complete response ended; `None` if there is no such request.
    pub disturbed: Option<(Instant, Instant)>,
    /// The outcome of each non-repeatable call, by its idempotency key.
    outcomes: BTreeMap<String, Outcome>,
    /// How many times the services ran each idempotency key.
    executions: BTreeMap<String, u64>,
}

impl Report {
    /// How many times this fault was found.
    #[must_use]
    pub fn count(&self, fault: Fault) -> usize {
        self.faults.iter().filter(|(it, _)| *it == fault).count()
    }

    /// The time between the ends of the first and the last request without a complete response.
    #[must_use]
    pub fn disturbance(&self) -> Duration {
        self.disturbed.map(|(first, last)| last - first).unwrap_or_default()
    }

    pub(super) fn add(
        &mut self,
        key: Option<String>,
        outcome: Outcome,
        detail: String,
        elapsed: Duration,
    ) {
        self.longest = self.longest.max(elapsed);
        match outcome {
            Outcome::Whole => self.whole += 1,
            Outcome::NotRun => self.not_run += 1,
            Outcome::Failed(fault) => self.faults.push((fault, detail)),
        }
        if outcome != Outcome::Whole {
            let now = Instant::now();
            let (first, _) = self.disturbed.unwrap_or((now, now));
            self.disturbed = Some((first, now));
        }
        if let Some(key) = key {
            self.outcomes.insert(key, outcome);
        }
    }

    pub(super) fn add_executions(&mut self, seen: &ServiceSeen) {
        for (key, count) in &seen.by_key {
            *self.executions.entry(key.clone()).or_default() += count;
        }
    }

    /// Compares the outcome of each non-repeatable call with how many times it ran.
    pub(super) fn check_executions(&mut self) {
        for (key, outcome) in &self.outcomes {
            let count = self.executions.get(key).copied().unwrap_or_default();
            let fault = match (outcome, count) {
                (_, 2..) => Fault::Doubled,
                (Outcome::Whole, 0) => Fault::Missing,
                (Outcome::NotRun, 1) => Fault::FalseNotRun,
                _ => continue,
            };
            self.faults.push((fault, format!("{key} ran {count} times, its outcome: {outcome:?}")));
        }
    }
}
