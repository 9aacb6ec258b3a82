//! The steps of a change.

use daisychute_core::Time;

use super::Order;

/// A read of the engine's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StateCheck {
    /// The state has to be read at this time or later.
    Due(Time),
    /// The read is in flight.
    Reading,
}

/// The current step of a change. There is at most one change at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// The endpoint is a plain service, which has no engine to reconfigure.
    Idle,
    /// The state is read to see whether a change is needed.
    Checking(StateCheck),
    /// A change is needed; the plan is being confirmed before the endpoint is drained.
    Confirming,
    /// No requests are admitted; those in progress finish.
    Draining,
    /// The endpoint is drained; the plan is being confirmed again.
    Reconfirming,
    /// The state is read again right before the order.
    Rechecking(StateCheck),
    /// The order call is in flight.
    Ordering(Order),
    /// The order was sent, or may have been; the state is polled until its outcome is known.
    Resolving { order: Order, check: StateCheck },
}
