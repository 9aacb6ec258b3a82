//! Plan of a region: the desired state of its endpoints.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{EndpointName, EngineTarget, Revision, Term};

/// Desired state of one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Desired role and model of an engine; `None` leaves them unchanged.
    pub target: Option<EngineTarget>,
    /// Whether the endpoint must drain: finish its requests and take no new ones.
    pub drain: bool,
    /// Plan revision that last changed this state. It is the fencing token of the reconfiguration order that carries it
    /// out.
    pub since: Revision,
}

/// Committed plan of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Lease term of the planner that wrote the plan.
    pub term: Term,
    /// Counts the committed plans of the region.
    // Invariant: no smaller than any `since` in `endpoints`.
    pub revision: Revision,
    /// Desired state of each endpoint.
    pub endpoints: BTreeMap<EndpointName, DesiredState>,
}
