//! State transitions of a request at the agent.

use std::fmt;

/// A state transition of a request at the agent. [`AgentCore`](super::AgentCore) logs each of them if its transition
/// log is enabled.
///
/// Coarse named transitions in one place follow the scheduler described in "Dask distributed Scheduler"
/// (documentation of version 1.12.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Transition {
    /// Accepted and queued.
    NewQueued,
    /// Passed to the endpoint.
    QueuedRunning,
    /// Cancelled, refused or expired before it ran.
    QueuedEnded,
    /// Finished, failed, cancelled or past its deadline while running.
    RunningEnded,
    /// Removed after its outcome was delivered, or abandoned by its entry.
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
