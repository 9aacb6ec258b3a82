//! What the configuration says of a service's engines.

use std::time::Duration;

/// The engines of one service.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that the KV cache of one engine holds.
    pub kv_tokens: u64,
    /// Bytes of KV cache for each token.
    pub kv_bytes_per_token: u64,
    /// Bandwidth between engines, in Mbit/s.
    pub link_mbps: f64,
    /// How long a prefilled KV cache waits to be fetched.
    pub handle_ttl: Duration,
}

impl EngineSpec {
    /// How long the KV cache of so many tokens takes from one engine to another in the same data centre.
    #[must_use]
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        if self.link_mbps <= 0.0 {
            return Duration::ZERO;
        }
        let bits = (tokens * self.kv_bytes_per_token * 8) as f64;
        Duration::from_secs_f64(bits / (self.link_mbps * 1e6))
    }
}
