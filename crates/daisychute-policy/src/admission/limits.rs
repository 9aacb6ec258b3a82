//! Limits on the concurrent work of one endpoint.

use std::time::Duration;

use daisychute_core::Role;

/// Limits on the work that an endpoint runs concurrently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub streams: u32,
    /// KV cache capacity in tokens for the prompts and expected outputs of all running requests.
    pub kv_tokens: u64,
    /// Maximum prefill time of the prompts that the endpoint holds; no further prompt is admitted beyond it. Other
    /// requests wait at the agent, where their order can still change.
    pub prompt_window: Duration,
    /// The role of an engine; `None` for a plain service.
    pub role: Option<Role>,
}

impl Limits {
    const ENGINE_STREAMS: u32 = 64;
    const ENGINE_KV_TOKENS: u64 = 400_000;
    const ENGINE_PROMPT_WINDOW: Duration = Duration::from_millis(250);
    const SERVICE_CALLS: u32 = 16;

    /// Default limits of a model engine with this role.
    #[must_use]
    pub const fn engine(role: Role) -> Self {
        Self {
            streams: Self::ENGINE_STREAMS,
            kv_tokens: Self::ENGINE_KV_TOKENS,
            prompt_window: Self::ENGINE_PROMPT_WINDOW,
            role: Some(role),
        }
    }

    /// Default limits of a plain service.
    #[must_use]
    pub const fn service() -> Self {
        Self {
            streams: Self::SERVICE_CALLS,
            kv_tokens: u64::MAX,
            prompt_window: Duration::MAX,
            role: None,
        }
    }

    /// Sets the maximum number of concurrent requests.
    #[must_use]
    pub const fn streams(mut self, streams: u32) -> Self {
        self.streams = streams;
        self
    }

    /// Sets the KV cache capacity in tokens.
    #[must_use]
    pub const fn kv_tokens(mut self, tokens: u64) -> Self {
        self.kv_tokens = tokens;
        self
    }
}
