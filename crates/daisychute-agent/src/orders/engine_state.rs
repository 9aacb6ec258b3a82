//! The state that an engine reports.

use daisychute_core::{AdapterName, EngineTarget, ModelName, ModelVersion, Revision, Role};
use serde::{Deserialize, Serialize};

/// Response body of `GET /state` of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The stage that it runs: prefill, decode or both.
    pub role: Role,
    /// Name of the model that it serves.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// The adapter loaded on top of the model, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Whether a reconfiguration is in progress. The fields above then still describe the engine before it.
    pub changing: bool,
    /// The highest fencing token among the orders that it accepted; 0 before the first.
    #[serde(default)]
    pub fence: Revision,
    /// Whether it refuses orders with a fencing token below `fence`.
    #[serde(default)]
    pub checks_fence: bool,
    /// Differs between two starts of the engine.
    #[serde(default)]
    pub started: u64,
    /// Why the last reconfiguration failed; `None` if it succeeded or there was none.
    #[serde(default)]
    pub failed: Option<String>,
}

impl EngineState {
    /// The current target, or during a reconfiguration the one before it.
    #[must_use]
    pub fn target(&self) -> EngineTarget {
        EngineTarget {
            role: self.role,
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: self.adapter.clone(),
        }
    }
}
