//! Time limits of a connection.

use std::time::Duration;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkConfig {
    /// Time limit for opening the socket with its WebSocket handshake, and again for the other side's hello.
    pub handshake_timeout: Duration,
    /// Maximum time between two frames from the other side, after which the connection is closed as unresponsive.
    pub heartbeat_timeout: Duration,
}

impl LinkConfig {
    /// Sets the heartbeat timeout.
    #[must_use]
    pub const fn heartbeat_timeout(mut self, timeout: Duration) -> Self {
        self.heartbeat_timeout = timeout;
        self
    }
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self {
            handshake_timeout: Duration::from_secs(2),
            heartbeat_timeout: Duration::from_secs(3),
        }
    }
}
