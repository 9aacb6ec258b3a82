//! What admission needs to know of a request.

use std::time::Duration;

use daisychute_core::{ClassName, Precedence, RequestId, TenantName, Time};

/// The part of a request that is asked of the endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestPhase {
    /// Prompt and output.
    #[default]
    Whole,
    /// The prompt and one token; the KV cache is exported.
    Prefill,
    /// The output from an imported KV cache.
    Decode,
    /// A call of a plain service.
    Call,
}

/// What admission needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// For whom.
    pub tenant: TenantName,
    /// In which class.
    pub class: ClassName,
    /// The precedence of that class.
    pub precedence: Precedence,
    /// When the whole answer is due.
    pub deadline: Time,
    /// When the first token is due, where the class says so. A decode phase has none.
    pub first_token: Option<Time>,
    /// The target between tokens, where the class gives one.
    pub between_tokens: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that the endpoint is believed to have in its cache.
    // Invariant: at most `prompt_tokens`.
    pub cached_tokens: u32,
    /// The greatest number of output tokens.
    pub max_tokens: u32,
    /// The part that is asked of this endpoint.
    pub phase: RequestPhase,
}

impl AdmissionRequest {
    /// A request of an interactive request without tokens or deadline.
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

    /// The same request with this precedence.
    #[must_use]
    pub fn precedence(mut self, precedence: Precedence) -> Self {
        self.precedence = precedence;
        self
    }

    /// The same request, due as a whole at this time.
    #[must_use]
    pub fn deadline(mut self, deadline: Time) -> Self {
        self.deadline = deadline;
        self
    }

    /// The same request, whose first token is due at this time.
    #[must_use]
    pub fn first_token(mut self, due: impl Into<Option<Time>>) -> Self {
        self.first_token = due.into();
        self
    }

    /// The same request with this target between tokens.
    #[must_use]
    pub fn between_tokens(mut self, target: impl Into<Option<Duration>>) -> Self {
        self.between_tokens = target.into();
        self
    }

    /// The same request with this many prompt tokens.
    #[must_use]
    pub fn prompt_tokens(mut self, tokens: u32) -> Self {
        self.prompt_tokens = tokens;
        self.cached_tokens = self.cached_tokens.min(tokens);
        self
    }

    /// The same request, of whose prompt tokens so many are cached.
    #[must_use]
    pub fn cached_tokens(mut self, tokens: u32) -> Self {
        self.cached_tokens = tokens.min(self.prompt_tokens);
        self
    }

    /// The same request with at most this many output tokens.
    #[must_use]
    pub fn max_tokens(mut self, tokens: u32) -> Self {
        self.max_tokens = tokens;
        self
    }

    /// The same request for this phase.
    #[must_use]
    pub fn phase(mut self, phase: RequestPhase) -> Self {
        self.phase = phase;
        self
    }

    /// Prompt tokens that the endpoint has to compute.
    #[must_use]
    pub fn uncached_tokens(&self) -> u32 {
        match self.phase {
            RequestPhase::Whole | RequestPhase::Prefill => self.prompt_tokens - self.cached_tokens,
            RequestPhase::Decode | RequestPhase::Call => 0,
        }
    }

    /// Whether the endpoint decodes an output.
    #[must_use]
    pub fn decodes(&self) -> bool {
        matches!(self.phase, RequestPhase::Whole | RequestPhase::Decode)
    }

    /// When it has to be started or refused: the first of its targets.
    #[must_use]
    pub fn due(&self) -> Time {
        self.first_token.map_or(self.deadline, |it| it.min(self.deadline))
    }
}
