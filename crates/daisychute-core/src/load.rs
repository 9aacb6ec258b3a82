//! Load of an endpoint, as reported by its agent.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Load of one endpoint, as its agent measures and predicts it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are queued at the agent.
    pub queued: u32,
    /// Requests that are running on the endpoint.
    pub running: u32,
    /// Prompt tokens whose prefill is pending.
    pub queued_prompt_tokens: u32,
    /// Maximum number of output tokens that running and queued requests may still generate.
    pub pending_output_tokens: u32,
    /// Predicted time that a new interactive request waits until it is scheduled.
    pub wait: Duration,
    /// Predicted prefill time per uncached prompt token.
    pub prompt_token: Duration,
    /// Predicted inter-token latency of a stream at the current batch size.
    pub between_tokens: Duration,
    /// Age of the report when it was sent.
    pub age: Duration,
}
