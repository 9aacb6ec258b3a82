//! Endpoints: model engines and plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, DataCentreName, EndpointName, Incarnation, InstanceName, ModelName, ModelVersion,
    ServiceName,
};

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// One worker of a plain service.
    Service(ServiceName),
}

/// The part of the work that an engine does.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prompts only; the KV cache is exported to a decoding engine.
    Prefill,
    /// Outputs only, from imported KV caches.
    Decode,
    /// Both.
    #[default]
    Mixed,
}

/// What an engine should be.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// The part of the work.
    pub role: Role,
    /// The model.
    pub model: ModelName,
    /// The version of the model's weights.
    pub version: ModelVersion,
    /// The adapter on top of it.
    pub adapter: Option<AdapterName>,
}

/// Whether an endpoint takes new work.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// It takes work.
    #[default]
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// What is known of one endpoint and the agent in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its name.
    pub endpoint: EndpointName,
    /// The instance that it runs on.
    pub instance: InstanceName,
    /// Where that instance is.
    pub data_centre: DataCentreName,
    /// What it is.
    pub kind: EndpointKind,
    /// Where its agent listens for the inner protocol.
    pub agent: SocketAddr,
    /// The incarnation of that agent.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// What an engine is at present; none for a plain service or while it is not known.
    pub target: Option<EngineTarget>,
}
