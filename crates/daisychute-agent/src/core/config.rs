//! Limits of the agent's core.

use std::time::Duration;

/// Limits of the agent's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentConfig {
    /// The interval between two heartbeats.
    pub heartbeat: Duration,
    /// How long the requests of an entry that can't be reached are kept running.
    pub orphan: Duration,
    /// How long the outcome of a request is remembered.
    pub outcome_retention: Duration,
    /// The most bytes of one answer that wait for the entry.
    pub answer_bytes: usize,
    /// The most bytes of all answers that wait for entries.
    pub total_answer_bytes: usize,
    /// The largest part of an answer in one frame, in bytes.
    pub chunk_bytes: usize,
    /// How often a broken answer of an engine is resumed.
    pub resumes: u32,
}

impl Default for AgentConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            orphan: Duration::from_secs(10),
            outcome_retention: Duration::from_secs(60),
            answer_bytes: 1 << 20,
            total_answer_bytes: 64 << 20,
            chunk_bytes: 16 << 10,
            resumes: 2,
        }
    }
}
