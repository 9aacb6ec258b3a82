//! Named state transitions of a request at the entry.

use std::fmt;

use super::RequestState;

/// A state transition of a request. All of them go through one place in [`EntryCore`](super::EntryCore), which logs
/// them if asked to.
///
/// Coarse, named transitions that are made in one place follow the scheduler described in "Dask distributed Scheduler"
/// (documentation of version 1.12.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Transition {
    /// State before the transition; `None` for a new request.
    pub from: Option<RequestState>,
    /// State after the transition; `None` if the request ended.
    pub to: Option<RequestState>,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name =
            |it: Option<RequestState>, other: &'static str| it.map_or(other, RequestState::as_str);
        write!(f, "{}-{}", name(self.from, "new"), name(self.to, "ended"))
    }
}
