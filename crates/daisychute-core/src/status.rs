//! What a process says of itself to operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentreName, EndpointKind, EndpointName, EndpointState, EngineTarget, Incarnation,
    InstanceName, LoadReport, ProcessName, RegionName, Revision, Term,
};

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessRole {
    /// It takes requests from callers.
    Entry,
    /// It gives orders and work to one endpoint.
    Agent,
}

/// What a process does beside its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Duty {
    /// It holds the planner lease of its region.
    Planner,
    /// It collects the demand of its data centre.
    Collector,
    /// It watches the platform for its data centre.
    Watcher,
}

/// How far a process is in its life.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessState {
    /// It has no configuration yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// The newest documents that a process has in force.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Of the configuration.
    #[serde(default)]
    pub configuration: Revision,
    /// Of the region's plan.
    #[serde(default)]
    pub plan: Revision,
    /// The term of that plan's planner.
    #[serde(default)]
    pub term: Term,
}

/// One endpoint as a process sees it. An agent tells of its own, an entry of every one that it may choose.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub endpoint: EndpointName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// What it is.
    pub kind: EndpointKind,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// What an engine is at present.
    pub target: Option<EngineTarget>,
    /// Whether an order is being carried out.
    #[serde(default)]
    pub changing: bool,
    /// Its last load report.
    pub load: Option<LoadReport>,
}

/// Another process as this one last heard of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its name.
    pub process: ProcessName,
    /// Its role.
    pub role: ProcessRole,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The documents that it last said it had in force.
    pub revisions: Revisions,
    /// How long ago it was heard.
    pub heard: Duration,
}

/// The answer to `GET /status` on the admin address of a process. Fields that are not known are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Its name.
    pub process: ProcessName,
    /// Its role.
    pub role: ProcessRole,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// The instance that it runs on.
    pub instance: InstanceName,
    /// How far it is in its life.
    pub state: ProcessState,
    /// What it does beside its role.
    #[serde(default)]
    pub duties: Vec<Duty>,
    /// The documents that it has in force.
    pub revisions: Revisions,
    /// How long ago the platform last answered it; none where it never did.
    #[serde(default)]
    pub platform_heard: Option<Duration>,
    /// Requests that it has not answered yet.
    pub in_flight: u32,
    /// The endpoints that it sees.
    #[serde(default)]
    pub endpoints: Vec<EndpointStatus>,
    /// The processes that it is connected to.
    #[serde(default)]
    pub peers: Vec<PeerStatus>,
}
