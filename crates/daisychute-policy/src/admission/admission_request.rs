//! The properties of a request that admission depends on.

use std::time::Duration;

use daisychute_core::{ClassName, Precedence, RequestId, TenantName, Time};

/// The part of a request that this endpoint runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// The engine prefills the prompt and decodes the output.
    #[default]
    Whole,
    /// The engine prefills the prompt, generates one token and exports the KV cache.
    Prefill,
    /// The engine decodes the output from an imported KV cache.
    Decode,
    /// A call to a plain service.
    Call,
}

/// A request that is submitted to an [`AdmissionController`](super::AdmissionController).
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Identifies the request in later calls to the admission controller.
    pub id: RequestId,
    /// The tenant that sent the request; tenants of one class share the endpoint fairly.
    pub tenant: TenantName,
    /// The request class; output lengths are learned per class.
    pub class: ClassName,
    /// Precedence of the class: requests of a more urgent precedence start first.
    pub precedence: Precedence,
    /// When the complete response is due.
    pub deadline: Time,
    /// When the first token is due; `None` if the class has no such target, and in the decode phase.
    pub first_token: Option<Time>,
    /// Target for the inter-token latency; `None` if the class has none.
    pub between_tokens: Option<Duration>,
    /// Number of tokens in the prompt, cached ones included.
    pub prompt_tokens: u32,
    /// Prompt tokens that are expected to be in the endpoint's prefix cache.
    // Invariant: at most `prompt_tokens`.
    pub cached_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// The part of the request that this endpoint runs.
    pub phase: RequestPhase,
}

impl AdmissionRequest {
    /// Creates a request with the default precedence, an empty prompt, one output token and no deadline.
    #[must_use]
    pub fn new(id: RequestId, tenant: TenantName, class: ClassName) -> Self {
        Self {
            id,
            tenant,
            class,
            precedence: Precedence::default(),
            deadline: Time::MAX,
            first_token: None,
            between_tokens: None,
            prompt_tokens: 0,
            cached_tokens: 0,
            max_tokens: 1,
            phase: RequestPhase::default(),
        }
    }

    /// Sets the precedence.
    #[must_use]
    pub fn precedence(mut self, precedence: Precedence) -> Self {
        self.precedence = precedence;
        self
    }

    /// Sets the time at which the complete response is due.
    #[must_use]
    pub fn deadline(mut self, deadline: Time) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the time at which the first token is due.
    #[must_use]
    pub fn first_token(mut self, deadline: impl Into<Option<Time>>) -> Self {
        self.first_token = deadline.into();
        self
    }

    /// Sets the target for the inter-token latency.
    #[must_use]
    pub fn between_tokens(mut self, target: impl Into<Option<Duration>>) -> Self {
        self.between_tokens = target.into();
        self
    }

    /// Sets the number of prompt tokens and caps the cached ones at it.
    #[must_use]
    pub fn prompt_tokens(mut self, tokens: u32) -> Self {
        self.prompt_tokens = tokens;
        self.cached_tokens = self.cached_tokens.min(tokens);
        self
    }

    /// Sets the number of cached prompt tokens, at most the prompt tokens that were set before.
    #[must_use]
    pub fn cached_tokens(mut self, tokens: u32) -> Self {
        self.cached_tokens = tokens.min(self.prompt_tokens);
        self
    }

    /// Sets the maximum number of output tokens.
    #[must_use]
    pub fn max_tokens(mut self, tokens: u32) -> Self {
        self.max_tokens = tokens;
        self
    }

    /// Sets the part of the request that this endpoint runs.
    #[must_use]
    pub fn phase(mut self, phase: RequestPhase) -> Self {
        self.phase = phase;
        self
    }

    /// Returns the number of prompt tokens that the endpoint has to prefill.
    #[must_use]
    pub fn uncached_tokens(&self) -> u32 {
        match self.phase {
            RequestPhase::Whole | RequestPhase::Prefill => self.prompt_tokens - self.cached_tokens,
            RequestPhase::Decode | RequestPhase::Call => 0,
        }
    }

    /// Returns whether the endpoint decodes the output.
    #[must_use]
    pub fn decodes(&self) -> bool {
        matches!(self.phase, RequestPhase::Whole | RequestPhase::Decode)
    }

    /// Returns the earliest of the first-token target and the deadline. Queued requests are ordered by this time and
    /// refused when they can no longer meet it.
    #[must_use]
    pub fn earliest_deadline(&self) -> Time {
        self.first_token.map_or(self.deadline, |it| it.min(self.deadline))
    }
}
