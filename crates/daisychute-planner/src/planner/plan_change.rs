//! What a policy wishes of the plan.

use daisychute_core::{EndpointName, EngineTarget};

/// A change that a policy wishes. The planner commits it when it may; a later wish for the same endpoint replaces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanChange {
    /// An engine should be this.
    Target {
        /// The engine.
        endpoint: EndpointName,
        /// What it should be.
        target: EngineTarget,
    },
    /// An endpoint should, or should no longer, be drained.
    Drain {
        /// The endpoint.
        endpoint: EndpointName,
        /// Whether it must take no new work.
        drain: bool,
    },
}
