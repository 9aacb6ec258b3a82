//! The outcomes of requests that are not kept any more.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time};

/// The newest run of a request that ended here, and what a late question about it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    at: Time,
    attempt: u32,
    refusal: Refusal,
}

/// Remembers for a while which requests have ended, so that a late or repeated frame neither runs one again nor is told
/// something else than before.
#[derive(Debug, Clone, Default)]
pub struct OutcomeLog {
    outcomes: BTreeMap<RequestId, Outcome>,
    /// In the order of the times.
    // Invariant: every request in `outcomes` has an entry here.
    order: VecDeque<(Time, RequestId)>,
}

impl OutcomeLog {
    /// Requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.outcomes.len()
    }

    /// Whether none is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.outcomes.is_empty()
    }

    /// Remembers that this run was refused, or never came.
    pub fn refused(&mut self, now: Time, id: RequestId, attempt: u32, refusal: Refusal) {
        self.outcomes.insert(id, Outcome { at: now, attempt, refusal });
        self.order.push_back((now, id));
    }

    /// Remembers that this run was answered and the answer delivered. A question about it now is too late.
    pub fn delivered(&mut self, now: Time, id: RequestId, attempt: u32) {
        self.refused(now, id, attempt, Refusal::unknown(RefusalReason::Cancelled));
    }

    /// What a question about this run is told, if it or a later one has ended here.
    #[must_use]
    pub fn get(&self, id: RequestId, attempt: u32) -> Option<Refusal> {
        let outcome = self.outcomes.get(&id)?;
        (attempt <= outcome.attempt).then_some(outcome.refusal)
    }

    /// Forgets what ended more than `retention` ago.
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
