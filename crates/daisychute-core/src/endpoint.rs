//! Endpoints: model engines and plain services.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, DataCentreName, EndpointName, Incarnation, InstanceName, ModelName, ModelVersion,
    ServiceName,
};

/// Kind of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// One worker of a plain service.
    Service(ServiceName),
}

/// Stages of a generation that an engine runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill only; the KV cache is transferred to a decode engine.
    Prefill,
    /// Decode only, from KV caches of prefill engines.
    Decode,
    /// Prefill and decode.
    #[default]
    Mixed,
}

/// Role, model and adapter of an engine, either desired or current.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Stages of a generation that the engine runs.
    pub role: Role,
    /// Name of the loaded model.
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: ModelVersion,
    /// Adapter loaded on top of the model; `None` for the plain model.
    pub adapter: Option<AdapterName>,
}

/// Whether an endpoint takes new requests.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointState {
    /// The endpoint takes new requests.
    #[default]
    Live,
    /// The endpoint drains: it finishes its requests and takes no new ones.
    Leaving,
}

/// Directory record of an endpoint and of the agent in front of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Name of the endpoint, unique in its region.
    pub endpoint: EndpointName,
    /// Instance that the endpoint runs on.
    pub instance: InstanceName,
    /// Data centre of that instance.
    pub data_centre: DataCentreName,
    /// Whether it is an engine or a worker of a plain service.
    pub kind: EndpointKind,
    /// Address at which its agent listens for connections of other processes.
    pub agent: SocketAddr,
    /// Incarnation of that agent.
    pub incarnation: Incarnation,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Current role and model of an engine; `None` for a plain service, or while it isn't known.
    pub target: Option<EngineTarget>,
}
