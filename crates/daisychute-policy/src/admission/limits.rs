//! What an endpoint is given at once.

use std::time::Duration;

use daisychute_core::Role;

/// Bounds on the work that an endpoint has at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The greatest number of requests at once.
    pub streams: u32,
    /// Tokens of KV cache that running requests may take.
    pub kv_tokens: u64,
    /// The endpoint is given prompts until they take this long. What waits beyond that waits at the agent, where
    /// the order can still change.
    pub prompt_window: Duration,
    /// The role of an engine; none for a plain service.
    pub role: Option<Role>,
}

impl Limits {
    const ENGINE_STREAMS: u32 = 64;
    const ENGINE_KV_TOKENS: u64 = 400_000;
    const ENGINE_PROMPT_WINDOW: Duration = Duration::from_millis(250);
    const SERVICE_CALLS: u32 = 16;

    /// The bounds of a model engine of this role.
    #[must_use]
    pub const fn engine(role: Role) -> Self {
        Self {
            streams: Self::ENGINE_STREAMS,
            kv_tokens: Self::ENGINE_KV_TOKENS,
            prompt_window: Self::ENGINE_PROMPT_WINDOW,
            role: Some(role),
        }
    }

    /// The bounds of a plain service.
    #[must_use]
    pub const fn service() -> Self {
        Self {
            streams: Self::SERVICE_CALLS,
            kv_tokens: u64::MAX,
            prompt_window: Duration::MAX,
            role: None,
        }
    }

    /// The same bounds with so many requests at once.
    #[must_use]
    pub const fn streams(mut self, streams: u32) -> Self {
        self.streams = streams;
        self
    }

    /// The same bounds with so many tokens of KV cache.
    #[must_use]
    pub const fn kv_tokens(mut self, tokens: u64) -> Self {
        self.kv_tokens = tokens;
        self
    }
}
