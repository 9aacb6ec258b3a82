//! What an engine says of itself.

use daisychute_core::{AdapterName, EngineTarget, ModelName, ModelVersion, Revision, Role};
use serde::{Deserialize, Serialize};

/// The answer of an engine to `GET /state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The part of the work that it does.
    pub role: Role,
    /// Its model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: ModelVersion,
    /// The adapter on top of it.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// Whether a change is in progress.
    pub changing: bool,
    /// The highest fencing number of an order that it took.
    #[serde(default)]
    pub fence: Revision,
    /// Whether it refuses an order that carries a lower one.
    #[serde(default)]
    pub checks_fence: bool,
    /// Tells one start of the engine from the next.
    #[serde(default)]
    pub started: u64,
    /// Why the last change failed.
    #[serde(default)]
    pub failed: Option<String>,
}

impl EngineState {
    /// What it is, or was before the change that is in progress.
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
