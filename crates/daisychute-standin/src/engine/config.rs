//! How the engine behaves.

use std::time::Duration;

use daisychute_core::EngineTarget;

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// What it is when it starts.
    pub target: EngineTarget,
    /// The fixed part of the time of a step.
    pub step: Duration,
    /// What each prompt token computed in a step adds to its time.
    pub prefill_token: Duration,
    /// What each running sequence adds to the time of a step.
    pub sequence: Duration,
    /// The most sequences that run at once.
    pub max_batch: usize,
    /// The most prompt tokens that one step computes.
    pub prefill_chunk: u32,
    /// Tokens of all running sequences that the KV memory holds, prompts and outputs.
    pub kv_tokens: u32,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// After how many output tokens a text ends by itself; none for never.
    pub natural_tokens: Option<u32>,
    /// How long a change takes.
    pub change: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// How late load reports are.
    pub load_lag: Duration,
    /// How late cache events are.
    pub event_lag: Duration,
    /// One of so many cache events is lost; none for none.
    pub event_loss: Option<u64>,
    /// The size of the KV cache of one token, in bytes.
    pub kv_token_bytes: u64,
    /// How long the import of one token's KV cache takes.
    pub import_token: Duration,
    /// How many ended requests can still be resumed or exported.
    pub kept_requests: usize,
    /// Where the weights come from, as `http://host:port`; none where a change needs no download.
    pub weights: Option<String>,
}

impl EngineConfig {
    /// An engine that starts as `target` and has a step of ten milliseconds.
    #[must_use]
    pub fn new(target: EngineTarget) -> Self {
        Self {
            target,
            step: Duration::from_millis(10),
            prefill_token: Duration::from_micros(50),
            sequence: Duration::from_micros(200),
            max_batch: 32,
            prefill_chunk: 512,
            kv_tokens: 65_536,
            cache_blocks: 2_048,
            natural_tokens: None,
            change: Duration::from_secs(2),
            checks_fence: true,
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(200),
            event_loss: None,
            kv_token_bytes: 131_072,
            import_token: Duration::from_micros(10),
            kept_requests: 1_024,
            weights: None,
        }
    }
}
