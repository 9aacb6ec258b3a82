//! What the platform has seen.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Calls by kind of object.
pub type CallsByKind = BTreeMap<String, u64>;

/// What the platform has seen since it started.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// Calls by verb (`get`, `list`, `watch`, `create`, `replace`, `delete`) and kind.
    pub calls: BTreeMap<String, CallsByKind>,
    /// Answers by HTTP status; a call that was not answered is not counted.
    pub answers: BTreeMap<u16, u64>,
    /// Loads from the weight store that were let through, by model and version joined by '/'.
    pub weight_loads: BTreeMap<String, u64>,
    /// Loads from the weight store that were refused.
    pub weight_refusals: u64,
    /// Watches that are open.
    pub open_watches: u64,
    /// Bytes received on all connections.
    pub bytes_in: u64,
    /// Bytes sent on all connections.
    pub bytes_out: u64,
    /// The version of the last change.
    pub version: u64,
}

impl Seen {
    /// Counts one call.
    pub(super) fn count_call(&mut self, verb: &str, kind: &str) {
        let by_kind = self.calls.entry(verb.to_owned()).or_default();
        *by_kind.entry(kind.to_owned()).or_default() += 1;
    }

    /// Counts one answer.
    pub(super) fn count_answer(&mut self, status: u16) {
        *self.answers.entry(status).or_default() += 1;
    }

    /// Calls of a verb on a kind.
    #[must_use]
    pub fn calls(&self, verb: &str, kind: &str) -> u64 {
        self.calls.get(verb).and_then(|it| it.get(kind)).copied().unwrap_or_default()
    }
}
