//! What an agent says of its endpoint's load.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The load of one endpoint as its agent sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that wait at the agent.
    pub queued: u32,
    /// Requests that run on the endpoint.
    pub running: u32,
    /// Prompt tokens that wait to be computed.
    pub queued_prompt_tokens: u32,
    /// Output tokens that the running and waiting requests may still make.
    pub pending_output_tokens: u32,
    /// How long a new interactive request would wait for its turn.
    pub wait: Duration,
    /// How long one uncached prompt token takes.
    pub prompt_token: Duration,
    /// The time between two tokens of one stream at the present batch.
    pub between_tokens: Duration,
    /// How old this report was when it was sent.
    pub age: Duration,
}
