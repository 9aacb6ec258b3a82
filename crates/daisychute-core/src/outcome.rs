//! Outcome of a request: refusal, finish reason and token usage.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Whether a request that got no complete response may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is certain that no endpoint ran any part of the request.
    NotRun,
    /// The request may have run, completely or in part.
    Unknown,
}

/// Why a request got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The target of its class can't be met at the current load.
    #[error("the target of the class can't be met at the present load")]
    Overloaded,
    /// No endpoint serves the requested model or service.
    #[error("no endpoint serves this model or service at present")]
    NoEndpoint,
    /// The process is shutting down, or the endpoint drains.
    #[error("the endpoint is leaving")]
    Leaving,
    /// The deadline of its class has passed.
    #[error("the deadline of the class has passed")]
    Deadline,
    /// The endpoint failed or was lost while the request ran.
    #[error("the endpoint was lost")]
    EndpointLost,
    /// The endpoint's response was malformed or truncated.
    #[error("the endpoint's answer was malformed or cut short")]
    BadAnswer,
    /// The client cancelled the request or disconnected.
    #[error("the caller cancelled the request")]
    Cancelled,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    RetryBudget,
    /// The idempotency key was used before with another request body.
    #[error("the idempotency key was used before with another request")]
    KeyReused,
    /// The platform store can't be reached, so that the guarantees for the request can't be kept.
    #[error("the platform can't be reached")]
    PlatformDown,
    /// A memory limit was reached.
    #[error("a memory bound was reached")]
    MemoryBound,
}

/// Final result of a request that got no complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason}")]
pub struct Refusal {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Cause of the refusal.
    pub reason: RefusalReason,
    /// Delay after which the client may retry; `None` if none is suggested.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that certainly has not run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// Creates a refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::Unknown, reason, retry_after: None }
    }

    /// Sets the delay after which the client may retry.
    #[must_use]
    pub const fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

/// Why a model stopped generating.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its output.
    Stop,
    /// The output reached its maximum length.
    Length,
}

/// Token counts of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that the engine had in its prefix cache.
    pub cached_tokens: u32,
    /// Number of generated tokens.
    pub output_tokens: u32,
}
