//! The named transitions of a request at the agent.

use std::fmt;

/// A transition of a request at the agent. All of them go through one place in
/// [`AgentCore`](super::AgentCore), which logs them on demand.
///
/// Coarse named transitions in one place follow the scheduler described in "Dask distributed Scheduler"
/// (documentation of version 1.12.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Transition {
    /// Taken over and waiting for its turn.
    NewQueued,
    /// Handed to the endpoint.
    QueuedRunning,
    /// Removed from the queue before it ran.
    QueuedEnded,
    /// The endpoint is done with it, or nobody waits for it any more.
    RunningEnded,
    /// Its whole outcome has arrived at the entry.
    EndedForgotten,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::NewQueued => "new-queued",
            Self::QueuedRunning => "queued-running",
            Self::QueuedEnded => "queued-ended",
            Self::RunningEnded => "running-ended",
            Self::EndedForgotten => "ended-forgotten",
        };
        f.write_str(name)
    }
}
