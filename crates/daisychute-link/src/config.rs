//! How long a connection may take and be silent.

use std::time::Duration;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkConfig {
    /// From opening the socket to the other side's hello.
    pub handshake_timeout: Duration,
    /// Without a frame from the other side for this long, the connection is given up as silent.
    pub heartbeat_timeout: Duration,
}

impl LinkConfig {
    /// The same limits with this silence.
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
