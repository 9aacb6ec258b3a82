//! What a caller may send.

use std::time::Duration;

/// Bounds on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClientLimits {
    /// The longest head of a request, in bytes.
    pub head_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
