//! What the engine records for tests: orders, requests and counters.

use std::collections::BTreeMap;

use daisychute_core::EngineTarget;
use serde::{Deserialize, Serialize};

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Accepted: a change was started.
    Accepted,
    /// Accepted: the engine has this target already.
    Unchanged,
    /// Refused: a change is in progress.
    Changing,
    /// Refused: the fencing token is outdated.
    StaleFence,
    /// Refused by a fault.
    Refused,
}

/// An order that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// Fencing token of the order.
    pub fence: u64,
    /// Role, model, version and adapter that the engine is to have.
    pub target: EngineTarget,
    /// Whether the order was accepted, or why it was refused.
    pub outcome: OrderOutcome,
    /// Whether a change was in progress when the order arrived.
    pub overlap: bool,
    /// Whether that change had another target.
    pub conflict: bool,
    /// Whether its fencing token is smaller than that of an earlier order.
    pub stale: bool,
    /// Number of requests aborted by the change.
    pub cut: u64,
}

/// A request that continued a generation from text that the client has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Continuation {
    /// Request id.
    pub id: String,
    /// Number of output tokens in that text.
    pub from: u32,
    /// Target of the engine when the request arrived.
    pub target: EngineTarget,
}

/// What the engine has recorded since its process started, across simulated crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSeen {
    /// Orders received, by time of arrival.
    pub orders: Vec<OrderSeen>,
    /// Number of orders with `conflict`.
    pub conflicts: u64,
    /// Number of completed changes.
    pub changes: u64,
    /// Number of completion requests received, run or not.
    pub calls: u64,
    /// Ids of requests admitted to the batch, in order of admission.
    pub started: Vec<String>,
    /// Ids of requests that generated all their tokens.
    pub finished: Vec<String>,
    /// Ids of requests cancelled before their end.
    pub cancelled: Vec<String>,
    /// Ids of requests aborted by a change or a crash, or discarded by the fault `cut_loses`.
    pub cut: Vec<String>,
    /// Number of times that each id was admitted to the batch.
    pub executions: BTreeMap<String, u64>,
    /// Number of completion requests refused because a change was in progress.
    pub refused_changing: u64,
    /// Requests that continued a generation.
    pub continuations: Vec<Continuation>,
    /// Number of requests whose `continue_from` isn't a prefix of the output.
    pub bad_continuations: u64,
    /// Number of resumed streams.
    pub resumed: u64,
    /// Number of exported KV caches.
    pub exports: u64,
    /// Number of imported KV caches.
    pub imports: u64,
    /// Total size of the imported KV caches, in bytes.
    pub imported_bytes: u64,
    /// Number of requests with a `kv_handle` whose cache hadn't been imported.
    pub kv_misses: u64,
    /// Number of prefilled prompt tokens.
    pub prefill_tokens: u64,
    /// Number of prompt tokens found in the prefix cache or in an imported cache.
    pub cached_tokens: u64,
    /// Number of generated output tokens.
    pub output_tokens: u64,
    /// Number of simulated crashes that the process survived.
    pub crashes: u64,
}
