//! What the end of a connection implies about the agent.

/// What the end of a connection implies about the agent that it led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// The agent may still run and may resume its requests on a new connection.
    ConnectionLost,
    /// The agent process no longer exists. How far its requests were executed is unknown.
    AgentTerminated,
    /// The agent shut down cleanly after it had sent the outcome of every request that it accepted. Requests that were
    /// started on this connection and have no response were not run and never will be. Those that were resumed on it may
    /// have been run, as their outcome may have been lost with an earlier connection.
    AgentShutDown,
}
