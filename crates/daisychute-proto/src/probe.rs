//! Asking an agent what a request would meet.

use daisychute_core::{LoadReport, ModelName};
use serde::{Deserialize, Serialize};

/// Entry to agent: what would a request like this meet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Matches the answer to the probe.
    pub seq: u64,
    /// The model, for an engine.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Hashes of the prompt's leading blocks, in order.
    #[serde(default)]
    pub blocks: Vec<u64>,
}

/// Agent to entry: answer to a probe.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// That of the probe.
    pub seq: u64,
    /// Present load.
    pub load: LoadReport,
    /// How many of the probe's leading blocks are in the cache.
    #[serde(default)]
    pub cached_blocks: u32,
}
