//! Requests that were refused and must not run if a copy of them comes late.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{Refusal, RequestId, Time};

#[derive(Debug)]
pub(super) struct RefusedRequests {
    max: usize,
    // Invariant: at most `max`, each of them in `expiries`.
    requests: BTreeMap<RequestId, Refusal>,
    expiries: BTreeSet<(Time, RequestId)>,
}

impl RefusedRequests {
    pub(super) const fn new(max: usize) -> Self {
        Self { max, requests: BTreeMap::new(), expiries: BTreeSet::new() }
    }

    pub(super) fn get(&self, id: RequestId) -> Option<Refusal> {
        self.requests.get(&id).copied()
    }

    /// Remembers a request, if there is room.
    pub(super) fn insert(&mut self, id: RequestId, refusal: Refusal, expires: Time) -> bool {
        if self.requests.len() >= self.max {
            return false;
        }
        self.requests.insert(id, refusal);
        self.expiries.insert((expires, id));
        true
    }

    pub(super) fn expire(&mut self, now: Time) {
        while self.expiries.first().is_some_and(|(expires, _)| *expires <= now) {
            let Some((_, id)) = self.expiries.pop_first() else { return };
            self.requests.remove(&id);
        }
    }

    pub(super) fn next_expiry(&self) -> Option<Time> {
        self.expiries.first().map(|(expires, _)| *expires)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
