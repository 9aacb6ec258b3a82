//! Changes that a policy requests of the plan.

use daisychute_core::{EndpointName, EngineTarget};

/// A plan change requested by a policy. The planner commits it once it holds the lease and the limit on weight loads
/// allows it. A later request of the same kind for the same endpoint replaces it, and the loss of the lease drops it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanChange {
    /// Reconfigure an engine.
    Target {
        /// Endpoint of the engine.
        endpoint: EndpointName,
        /// Role, model, version and adapter that it should serve.
        target: EngineTarget,
    },
    /// Start or stop draining an endpoint.
    Drain {
        /// Endpoint to drain or to return to service.
        endpoint: EndpointName,
        /// `true` to give it no new work, `false` to admit work again.
        drain: bool,
    },
}
