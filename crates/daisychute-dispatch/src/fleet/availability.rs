//! Whether an endpoint takes another request.

use daisychute_core::Time;

/// Whether and when an endpoint takes another request of this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It takes one now.
    Now,
    /// It takes none because of a pause that it asked for. The time is the earliest at which it may.
    After(Time),
    /// It takes none for another reason: it leaves, or the directory doesn't list it as ready.
    Closed,
}
