//! What came of the requests of a load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use daisychute_standin::service::ServiceSeen;

/// What can be wrong with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The answer broke off, or none came.
    Cut,
    /// The answer is not the one to this request.
    Wrong,
    /// The refusal doesn't say that the request was not run.
    Uncertain,
    /// A call that may not be repeated ran more than once.
    Doubled,
    /// A call was answered, but no service ran it.
    Missing,
    /// A refusal said that the call was not run, but it was.
    FalseNotRun,
}

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Whole,
    NotRun,
    Failed(Fault),
}

/// What came of the requests of a load.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// Requests whose answer was whole and their own.
    pub whole: usize,
    /// Requests that were refused as not run.
    pub not_run: usize,
    /// What was wrong, with a line that tells more.
    pub faults: Vec<(Fault, String)>,
    /// The longest time from a request to the end of its answer.
    pub longest: Duration,
    /// From the first to the last request that was not answered whole.
    pub disturbed: Option<(Instant, Instant)>,
    keys: BTreeMap<String, End>,
    executions: BTreeMap<String, u64>,
}

impl Report {
    /// Requests with this fault.
    #[must_use]
    pub fn count(&self, fault: Fault) -> usize {
        self.faults.iter().filter(|(it, _)| *it == fault).count()
    }

    /// From the first to the last request that was not answered whole.
    #[must_use]
    pub fn disturbance(&self) -> Duration {
        self.disturbed.map(|(first, last)| last - first).unwrap_or_default()
    }

    pub(super) fn add(&mut self, key: Option<String>, end: End, detail: String, took: Duration) {
        self.longest = self.longest.max(took);
        match end {
            End::Whole => self.whole += 1,
            End::NotRun => self.not_run += 1,
            End::Failed(fault) => self.faults.push((fault, detail)),
        }
        if end != End::Whole {
            let now = Instant::now();
            let (first, _) = self.disturbed.unwrap_or((now, now));
            self.disturbed = Some((first, now));
        }
        if let Some(key) = key {
            self.keys.insert(key, end);
        }
    }

    pub(super) fn add_executions(&mut self, seen: &ServiceSeen) {
        for (key, count) in &seen.by_key {
            *self.executions.entry(key.clone()).or_default() += count;
        }
    }

    /// Compares what became of each key with how many times it ran.
    pub(super) fn check_executions(&mut self) {
        for (key, end) in &self.keys {
            let count = self.executions.get(key).copied().unwrap_or_default();
            let fault = match (end, count) {
                (_, 2..) => Fault::Doubled,
                (End::Whole, 0) => Fault::Missing,
                (End::NotRun, 1) => Fault::FalseNotRun,
                _ => continue,
            };
            self.faults.push((fault, format!("{key} ran {count} times, its answer: {end:?}")));
        }
    }
}
