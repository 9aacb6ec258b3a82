//! How a request ends.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What is known of a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was proved that no endpoint ran any of it.
    NotRun,
    /// It may have run, whole or in part.
    Unknown,
}

/// Why a request was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Its target can't be met at the present load.
    #[error("the target of the class can't be met at the present load")]
    Overloaded,
    /// No endpoint serves what it asks for.
    #[error("no endpoint serves this model or service at present")]
    NoEndpoint,
    /// The process or endpoint is leaving.
    #[error("the endpoint is leaving")]
    Leaving,
    /// The time that its class gives has passed.
    #[error("the deadline of the class has passed")]
    Deadline,
    /// The endpoint failed or was lost while it ran.
    #[error("the endpoint was lost")]
    EndpointLost,
    /// The endpoint answered something that is no answer.
    #[error("the endpoint's answer was malformed or cut short")]
    BadAnswer,
    /// The caller went away.
    #[error("the caller cancelled the request")]
    Cancelled,
    /// The retry budget is used up.
    #[error("the retry budget is used up")]
    RetryBudget,
    /// The key was used before with another body.
    #[error("the idempotency key was used before with another request")]
    KeyReused,
    /// What is needed to keep the promise can't be reached.
    #[error("the platform can't be reached")]
    PlatformDown,
    /// A bound on memory was reached.
    #[error("a memory bound was reached")]
    MemoryBound,
}

/// The final answer to a request that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{reason}")]
pub struct Refusal {
    /// What is known of its effect.
    pub verdict: Verdict,
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that was proved not to have run.
    #[must_use]
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self { verdict: Verdict::Unknown, reason, retry_after: None }
    }

    /// The same refusal, telling the caller when to come back.
    #[must_use]
    pub const fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}

/// Why a model stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// It came to its end.
    Stop,
    /// It reached the greatest length.
    Length,
}

/// Tokens of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the engine had in its cache.
    pub cached_tokens: u32,
    /// Tokens of the output.
    pub output_tokens: u32,
}
