//! Remembers the outcomes of requests that were removed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time};

/// The latest run of a request that ended here, and the refusal for late frames about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    at: Time,
    attempt: u32,
    refusal: Refusal,
}

/// Remembers for a limited time which requests have ended, so that a late or repeated frame neither runs one again nor
/// gets a different outcome.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLog {
    outcomes: BTreeMap<RequestId, Outcome>,
    /// Insertion times, ascending, for expiry.
    // Invariant: every request in `outcomes` has an entry here.
    order: VecDeque<(Time, RequestId)>,
}

impl OutcomeLog {
    /// Number of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Records that this run was refused, or that it never arrived.
    pub fn record_refusal(&mut self, now: Time, id: RequestId, attempt: u32, refusal: Refusal) {
        self.outcomes.insert(id, Outcome { at: now, attempt, refusal });
        self.order.push_back((now, id));
    }

    /// Records that the response of this run was delivered. Later frames about it get the refusal `Cancelled` with an
    /// unknown verdict, since the response is no longer available.
    pub fn record_delivery(&mut self, now: Time, id: RequestId, attempt: u32) {
        self.record_refusal(now, id, attempt, Refusal::unknown(RefusalReason::Cancelled));
    }

    /// The refusal for a frame about this run, if it or a later run has ended here.
    #[must_use]
    pub fn get(&self, id: RequestId, attempt: u32) -> Option<Refusal> {
        let outcome = self.outcomes.get(&id)?;
        (attempt <= outcome.attempt).then_some(outcome.refusal)
    }

    /// Removes outcomes recorded at least `retention` ago.
    pub fn expire(&mut self, now: Time, retention: Duration) {
        while let Some(&(at, id)) = self.order.front() {
            if now.since(at) < retention {
                return;
            }
            self.order.pop_front();
            if self.outcomes.get(&id).is_some_and(|it| it.at == at) {
                self.outcomes.remove(&id);
            }
        }
    }
}
