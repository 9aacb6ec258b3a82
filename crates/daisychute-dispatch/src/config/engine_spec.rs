//! Configured properties of a service's engines.

use std::time::Duration;

/// Properties that all engines of a service share.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineSpec {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// Size of the KV cache per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth between two engines, in Mbit/s; zero or less makes a transfer take no time.
    pub link_mbps: f64,
    /// How long an engine holds a prefilled KV cache for another engine to fetch.
    pub handle_ttl: Duration,
}

impl EngineSpec {
    /// Returns the time to transfer the KV cache of `tokens` tokens between two engines of one data centre.
    #[must_use]
    pub fn transfer_time(&self, tokens: u64) -> Duration {
        if self.link_mbps <= 0.0 {
            return Duration::ZERO;
        }
        let bits = (tokens * self.kv_bytes_per_token * 8) as f64;
        Duration::from_secs_f64(bits / (self.link_mbps * 1e6))
    }
}
