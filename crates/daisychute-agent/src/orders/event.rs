//! Events and actions of the order core.

use daisychute_core::{DesiredState, EngineTarget, Revision, Time};
use serde::{Deserialize, Serialize};

use super::EngineState;

/// A reconfiguration order to the engine: the request body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the plan revision that last changed the desired state of this endpoint.
    pub fence: Revision,
    /// The role, model, version and adapter that the engine is to have.
    pub target: EngineTarget,
}

/// Outcome of a call that sends an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and starts the change.
    Accepted,
    /// The engine refused the order because a change is in progress.
    Changing,
    /// The engine refused the order because it has accepted one with this higher fencing token.
    StaleFence(Revision),
    /// The order may have reached the engine, or may still reach it.
    Unknown,
    /// The order was not executed and never will be: it wasn't sent, or the engine rejected the request.
    NotSent,
}

/// An input of the order core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// A plan is in force at this agent.
    Plan {
        /// Revision of the whole plan. Plans that are not newer than the current one are ignored.
        revision: Revision,
        /// The desired state of this endpoint; `None` if the plan doesn't contain it.
        desired: Option<DesiredState>,
    },
    /// Result of [`OrderAction::ConfirmPlan`]: the plan revision in the platform store, or `None` if it could not be
    /// read. If that plan is newer, [`OrderEvent::Plan`] comes first.
    PlanRead(Option<Revision>),
    /// Result of [`OrderAction::ReadState`], or `None` if the engine's state could not be read.
    State(Option<EngineState>),
    /// Outcome of [`OrderAction::Order`].
    Answered(OrderOutcome),
    /// [`OrderAction::Drain`] is complete.
    Drained,
    /// The agent shuts down. It admits no new work and starts no change.
    Shutdown,
    /// The time of [`OrderAction::WakeAt`] has come.
    Tick,
}

/// An output of the order core, for its shell to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Admit new requests (`true`), or refuse them as not run (`false`).
    Admit(bool),
    /// Send [`OrderEvent::Drained`] as soon as no request is queued or running. Emitted once for each change, after
    /// [`OrderAction::Admit`] with `false`.
    Drain,
    /// Read the current plan from the platform store.
    ConfirmPlan,
    /// Read the engine's state.
    ReadState,
    /// Send this order to the engine.
    Order(Order),
    /// The engine's target has changed. `None` while it is being reconfigured.
    Observed(Option<EngineTarget>),
    /// The engine has accepted an order with a higher fencing token than the plan has for it.
    Superseded {
        /// The fencing token that the engine reported.
        fence: Revision,
    },
    /// A change failed and will be retried.
    Failed {
        /// The order whose change failed.
        order: Order,
    },
    /// Send [`OrderEvent::Tick`] at this time or earlier.
    WakeAt(Time),
}
