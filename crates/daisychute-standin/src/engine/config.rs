//! Configuration of the engine.

use std::time::Duration;

use daisychute_core::EngineTarget;

/// Configuration of the engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Role, model, version and adapter at the start and after a crash.
    pub target: EngineTarget,
    /// Fixed part of the duration of a step.
    pub step: Duration,
    /// Time that each prefilled prompt token adds to a step.
    pub prefill_token: Duration,
    /// Time that each running sequence adds to a step.
    pub sequence: Duration,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Maximum number of prompt tokens that one step prefills.
    pub prefill_chunk: u32,
    /// KV memory in tokens, for the prompts and outputs of all running sequences.
    pub kv_tokens: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Number of output tokens after which a generation ends with `stop`; `None` for never.
    pub natural_tokens: Option<u32>,
    /// Duration of a change to another target, without the download of weights.
    pub change: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Delay of load reports.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub event_lag: Duration,
    /// Every N-th cache event is lost; `None` loses none.
    pub event_loss: Option<u64>,
    /// Size of the KV cache of one token, in bytes.
    pub kv_token_bytes: u64,
    /// Time to import the KV cache of one token.
    pub import_token: Duration,
    /// Number of requests that are kept for resumption and export. Ended ones beyond it are dropped, oldest first.
    pub retained_requests: usize,
    /// Base URL of the weight store, as `http://host:port`; `None` if a change needs no download.
    pub weights: Option<String>,
}

impl EngineConfig {
    /// Default configuration with this target: steps of ten milliseconds and no faults.
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
            retained_requests: 1_024,
            weights: None,
        }
    }
}
