//! Status of a process, as reported to operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentreName, EndpointKind, EndpointName, EndpointState, EngineTarget, Incarnation,
    InstanceName, LoadReport, ProcessName, RegionName, Revision, Term,
};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// The process accepts requests of clients and routes them.
    Entry,
    /// The process passes requests and reconfiguration orders to one endpoint.
    Agent,
}

/// Duty that a process has in addition to its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// The process holds the planner lease of its region.
    Planner,
    /// The process collects the demand of its data centre.
    Collector,
    /// The process watches the platform store for its data centre.
    Watcher,
}

/// Lifecycle state of a process.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessState {
    /// The process has no configuration yet.
    #[default]
    Starting,
    /// The process serves requests.
    Ready,
    /// The process shuts down: it finishes its requests and takes no new ones.
    Leaving,
}

/// Revisions of the documents that a process has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the configuration.
    #[serde(default)]
    pub configuration: Revision,
    /// Revision of the region's plan.
    #[serde(default)]
    pub plan: Revision,
    /// Lease term of the planner that wrote that plan.
    #[serde(default)]
    pub term: Term,
}

/// An endpoint as seen by a process. An agent reports its own endpoint, an entry every endpoint that it may select.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name of the endpoint.
    pub endpoint: EndpointName,
    /// Data centre that the endpoint runs in.
    pub data_centre: DataCentreName,
    /// Whether it is an engine or a worker of a plain service.
    pub kind: EndpointKind,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Current role and model of an engine; `None` for a plain service, or while it isn't known.
    pub target: Option<EngineTarget>,
    /// Whether the endpoint is carrying out a reconfiguration order.
    #[serde(default)]
    pub changing: bool,
    /// Last load report; `None` before the first one.
    pub load: Option<LoadReport>,
}

/// Another process, by its last message to this one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the other process.
    pub process: ProcessName,
    /// Role of the other process.
    pub role: ProcessRole,
    /// Data centre of the other process.
    pub data_centre: DataCentreName,
    /// Incarnation of the other process.
    pub incarnation: Incarnation,
    /// Revisions that it last reported to have in force.
    pub revisions: Revisions,
    /// Time since its last message.
    pub heard: Duration,
}

/// Response to `GET /status` on the admin address of a process. Unknown fields are ignored when it is read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Name of the process, unique in its region.
    pub process: ProcessName,
    /// Whether the process is an entry or an agent.
    pub role: ProcessRole,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Region that the process belongs to.
    pub region: RegionName,
    /// Data centre that the process runs in.
    pub data_centre: DataCentreName,
    /// Instance that the process runs on.
    pub instance: InstanceName,
    /// Lifecycle state of the process.
    pub state: ProcessState,
    /// Duties that the process has in addition to its role.
    #[serde(default)]
    pub duties: Vec<Duty>,
    /// Revisions of the documents that the process has in force.
    pub revisions: Revisions,
    /// Time since the platform store last responded to the process; `None` if it never did.
    #[serde(default)]
    pub platform_heard: Option<Duration>,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Endpoints that the process knows.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
    /// Processes that the process is connected to.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
}
