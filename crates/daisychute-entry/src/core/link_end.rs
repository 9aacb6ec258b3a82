//! What the end of a connection tells of the agent.

/// What the end of a connection tells of the agent at its other end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// Nothing: the agent may come back and go on with its requests.
    ConnectionLost,
    /// The agent has ended, and nobody knows how far its requests came.
    AgentTerminated,
    /// The agent has said goodbye after it had answered everything that it took. What it did not answer, it did not run
    /// and never will.
    AgentShutDown,
}
