//! The named transitions of a request at the entry.

use std::fmt;

use super::RequestState;

/// A transition of a request at the entry. All of them go through one place in
/// [`EntryCore`](super::EntryCore), which logs them on demand.
///
/// Coarse named transitions in one place follow the scheduler described in "Dask distributed Scheduler"
/// (documentation of version 1.12.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The state before; none for a new request.
    pub from: Option<RequestState>,
    /// The state after; none when the request has its final answer.
    pub to: Option<RequestState>,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name =
            |it: Option<RequestState>, other: &'static str| it.map_or(other, RequestState::as_str);
        write!(f, "{}-{}", name(self.from, "new"), name(self.to, "ended"))
    }
}
