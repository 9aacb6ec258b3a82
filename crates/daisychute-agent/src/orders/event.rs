//! What the order core is told and what it asks for.

use daisychute_core::{DesiredState, EngineTarget, Revision, Time};
use serde::{Deserialize, Serialize};

use super::EngineState;

/// An order to the engine: the body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number: the plan revision that last changed the entry of this endpoint.
    pub fence: Revision,
    /// What the engine should be.
    pub target: EngineTarget,
}

/// How an order call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine refused it because a change is in progress.
    Changing,
    /// The engine refused it because it took one with this higher number.
    StaleFence(Revision),
    /// It may or may not have reached the engine, or may still reach it.
    Unknown,
    /// It didn't reach the engine and never will.
    NotSent,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEvent {
    /// This plan revision is in force. `desired` is the entry of this endpoint.
    Plan {
        /// The revision.
        revision: Revision,
        /// The entry of this endpoint, if there is one.
        desired: Option<DesiredState>,
    },
    /// The answer to [`OrderAction::ConfirmPlan`]: the revision that the platform has at present, or none if it
    /// could not be read. A newer plan is given by [`OrderEvent::Plan`] first.
    PlanRead(Option<Revision>),
    /// The answer to [`OrderAction::ReadState`], or none if the engine could not be read.
    State(Option<EngineState>),
    /// The answer to [`OrderAction::Order`].
    Answered(OrderOutcome),
    /// The answer to [`OrderAction::Drain`].
    Drained,
    /// The agent stops. It takes no new work and starts no change.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Take new work, or refuse it as not run.
    Admit(bool),
    /// Tell [`OrderEvent::Drained`] when nothing runs or waits for this endpoint any more. Said once for each change,
    /// after [`OrderAction::Admit`] of `false`.
    Drain,
    /// Read the plan from the platform.
    ConfirmPlan,
    /// Read the state of the engine.
    ReadState,
    /// Give the engine this order.
    Order(Order),
    /// The engine is this, or changes where there is none. Said when it is another than before.
    Observed(Option<EngineTarget>),
    /// The engine took an order with a higher fencing number than the plan gives.
    Superseded {
        /// The number that the engine has.
        fence: Revision,
    },
    /// A change failed and will be tried again.
    Failed {
        /// The order.
        order: Order,
    },
    /// Call again with [`OrderEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
