//! Probes: an entry asks an agent for the conditions that a request would meet.

use daisychute_core::{LoadReport, ModelName};
use serde::{Deserialize, Serialize};

/// Entry to agent: asks for the load, and for the cached blocks of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Sequence number, repeated in the response.
    pub seq: u64,
    /// The model of the request. `None` for a plain service.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Hashes of the prompt's leading blocks, in order.
    #[serde(default)]
    pub blocks: Vec<u64>,
}

/// Agent to entry: response to a probe.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The sequence number of the probe.
    pub seq: u64,
    /// The current load of the endpoint.
    pub load: LoadReport,
    /// Number of the probe's leading blocks that are in the prefix cache.
    #[serde(default)]
    pub cached_blocks: u32,
}
