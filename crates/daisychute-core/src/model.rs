//! Models that engines can load.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelName, ModelVersion};

/// A model that clients can name in requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model in client requests.
    pub name: ModelName,
    /// Version of the weights that engines must load.
    pub version: ModelVersion,
    /// Adapters that client requests may name.
    pub adapters: BTreeSet<AdapterName>,
    /// Maximum length of prompt and output together, in tokens.
    pub context_tokens: u32,
    /// Size of the KV cache per prompt token, in bytes.
    pub kv_bytes_per_token: u32,
}
