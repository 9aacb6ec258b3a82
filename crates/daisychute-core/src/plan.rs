//! The plan: what every endpoint should be.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{EndpointName, EngineTarget, Revision, Term};

/// What one endpoint should be.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// What an engine should be; none leaves it as it is.
    pub target: Option<EngineTarget>,
    /// Whether the endpoint must take no new work.
    pub drain: bool,
    /// The plan revision that last changed this entry. It is the fencing number of the order that carries it out.
    pub since: Revision,
}

/// The committed plan of one region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The term of the planner that wrote it.
    pub term: Term,
    /// Counts the committed plans of the region.
    // Invariant: no smaller than any `since` in `endpoints`.
    pub revision: Revision,
    /// What each endpoint should be.
    pub endpoints: BTreeMap<EndpointName, DesiredState>,
}
