//! What the engine has seen.

use std::collections::BTreeMap;

use daisychute_core::EngineTarget;
use serde::{Deserialize, Serialize};

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// A change was started.
    Accepted,
    /// The engine is that already.
    Unchanged,
    /// Refused: a change is in progress.
    Changing,
    /// Refused: the fencing number is old.
    StaleFence,
    /// Refused by a fault.
    Refused,
}

/// One order that came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderSeen {
    /// Its fencing number.
    pub fence: u64,
    /// What the engine is told to be.
    pub target: EngineTarget,
    /// What became of it.
    pub outcome: OrderOutcome,
    /// Whether a change was in progress when it came.
    pub overlap: bool,
    /// Whether that change had another target.
    pub conflict: bool,
    /// Whether its fencing number is smaller than one that came before.
    pub stale: bool,
    /// Requests that were cut by it.
    pub cut: u64,
}

/// A request that went on from a text already sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Continuation {
    /// Its id.
    pub id: String,
    /// Output tokens of that text.
    pub from: u32,
    /// What the engine was.
    pub target: EngineTarget,
}

/// What the engine has seen since its process started, over all its crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSeen {
    /// Orders, in the order in which they came.
    pub orders: Vec<OrderSeen>,
    /// Orders with `conflict`.
    pub conflicts: u64,
    /// Changes that were completed.
    pub changes: u64,
    /// Completion calls that came, run or not.
    pub calls: u64,
    /// Ids of requests that were put into the batch, in that order.
    pub started: Vec<String>,
    /// Ids of requests that made all their tokens.
    pub finished: Vec<String>,
    /// Ids of requests that were cancelled before their end.
    pub cancelled: Vec<String>,
    /// Ids of requests that were cut by a change or a crash.
    pub cut: Vec<String>,
    /// How many times each id was put into the batch.
    pub executions: BTreeMap<String, u64>,
    /// Completion calls refused while a change was in progress.
    pub refused_changing: u64,
    /// Requests that went on from a text already sent.
    pub continuations: Vec<Continuation>,
    /// Requests whose `continue_from` is not the start of the output.
    pub bad_continuations: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// KV caches exported.
    pub exports: u64,
    /// KV caches imported.
    pub imports: u64,
    /// Bytes of the imported KV caches.
    pub imported_bytes: u64,
    /// Requests with a `kv_handle` whose cache was not here.
    pub kv_misses: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the prefix cache or in an imported cache.
    pub cached_tokens: u64,
    /// Output tokens made.
    pub output_tokens: u64,
    /// Crashes.
    pub crashes: u64,
}
