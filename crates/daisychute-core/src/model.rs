//! Models that engines can load.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, ModelName, ModelVersion};

/// A model in service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Its name, as callers give it.
    pub name: ModelName,
    /// The version of its weights that engines must load.
    pub version: ModelVersion,
    /// The adapters that callers may name.
    pub adapters: BTreeSet<AdapterName>,
    /// The longest prompt and output together, in tokens.
    pub context_tokens: u32,
    /// Bytes of KV cache for each token of a prompt.
    pub kv_bytes_per_token: u32,
}
