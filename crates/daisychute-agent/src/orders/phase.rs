//! How far a change has come.

use daisychute_core::Time;

use super::Order;

/// A look at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Look {
    /// The state must be read, at this time or later.
    Due(Time),
    /// It is being read.
    Reading,
}

/// How far a change has come. One change is in flight at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Phase {
    /// There is no engine.
    Idle,
    /// The engine is looked at to see whether a change is needed.
    Looking(Look),
    /// A change is needed; the plan is being confirmed before the endpoint is drained for it.
    Confirming,
    /// No new work is admitted; the rest finishes.
    Draining,
    /// Drained; the plan is being confirmed once more.
    Reconfirming,
    /// The engine is looked at right before the order.
    ReadingBack(Look),
    /// The order is under way.
    Ordering(Order),
    /// The order was given, or may have been; the engine is looked at until its outcome is known.
    Settling { order: Order, look: Look },
}
