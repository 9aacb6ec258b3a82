//! Whether an endpoint takes another request.

use daisychute_core::Time;

/// Whether and when an endpoint takes another request of this front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// It takes one now.
    Now,
    /// It takes none because of a pause that it asked for. The time is the earliest at which it may.
    Paused(Time),
    /// It takes none because of a limit that it named. The time is the beginning of this front's next slot.
    Limited(Time),
    /// It takes none for another reason: it leaves, or the directory doesn't list it as ready.
    Closed,
}

impl Availability {
    /// Returns when the endpoint may take a request, if something that it asked for keeps it from taking one now.
    pub(crate) const fn returns_at(self) -> Option<Time> {
        match self {
            Self::Paused(at) | Self::Limited(at) => Some(at),
            Self::Now | Self::Closed => None,
        }
    }
}
