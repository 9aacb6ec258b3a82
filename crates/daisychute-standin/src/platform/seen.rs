//! Counters that the platform records for tests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Number of calls by kind of object.
pub type CallsByKind = BTreeMap<String, u64>;

/// Counters of the platform since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Number of calls by verb (`get`, `list`, `watch`, `create`, `replace`, `delete`) and kind.
    pub calls: BTreeMap<String, CallsByKind>,
    /// Number of responses by HTTP status; calls that got no response aren't counted.
    pub answers: BTreeMap<u16, u64>,
    /// Number of permitted downloads from the weight store, by `model/version`.
    pub weight_loads: BTreeMap<String, u64>,
    /// Number of refused downloads from the weight store.
    pub weight_refusals: u64,
    /// Number of open watches.
    pub open_watches: u64,
    /// Number of bytes received on all connections.
    pub bytes_in: u64,
    /// Number of bytes sent on all connections.
    pub bytes_out: u64,
    /// Version of the last change of any object.
    pub version: u64,
}

impl Seen {
    /// Counts a call.
    pub(super) fn count_call(&mut self, verb: &str, kind: &str) {
        let by_kind = self.calls.entry(verb.to_owned()).or_default();
        *by_kind.entry(kind.to_owned()).or_default() += 1;
    }

    /// Counts a response.
    pub(super) fn count_response(&mut self, status: u16) {
        *self.answers.entry(status).or_default() += 1;
    }

    /// Number of calls with this verb on this kind.
    #[must_use]
    pub fn calls(&self, verb: &str, kind: &str) -> u64 {
        self.calls.get(verb).and_then(|it| it.get(kind)).copied().unwrap_or_default()
    }
}
