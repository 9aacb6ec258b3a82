//! Intervals, timeouts and buffer limits of the agent's core.

use std::time::Duration;

/// Intervals, timeouts and buffer limits of the agent's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentConfig {
    /// Interval between heartbeats to each entry.
    pub heartbeat_interval: Duration,
    /// How long requests keep running after the connection to their entry was lost. They are cancelled unless an entry
    /// resumes them within this time.
    pub orphan_timeout: Duration,
    /// How long an undelivered response is kept, and the outcome of a removed request is remembered.
    pub outcome_retention: Duration,
    /// Maximum unacknowledged bytes of one response. The request is cancelled beyond it.
    pub max_response_bytes: usize,
    /// Maximum unacknowledged bytes of all responses. New requests are refused at this limit, and a request whose data
    /// exceeds it is cancelled.
    pub max_total_response_bytes: usize,
    /// Maximum payload of a chunk frame, in bytes.
    pub max_chunk_bytes: usize,
    /// Maximum number of times that a truncated response of an engine is resumed.
    pub max_resumes: u32,
}

impl Default for AgentConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            orphan_timeout: Duration::from_secs(10),
            outcome_retention: Duration::from_secs(60),
            max_response_bytes: 1 << 20,
            max_total_response_bytes: 64 << 20,
            max_chunk_bytes: 16 << 10,
            max_resumes: 2,
        }
    }
}
