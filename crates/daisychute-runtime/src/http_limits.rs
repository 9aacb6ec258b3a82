//! What a listener allows.

use std::time::Duration;

/// What a listener allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Open connections; further ones wait in the system's queue.
    pub connections: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// Path, query and all header names and values of a request together, in bytes.
    pub header_bytes: usize,
    /// From the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// From the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// How long an idle connection is kept.
    pub keep_alive: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            body_bytes: 4 << 20,
            header_bytes: 16 << 10,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            keep_alive: Duration::from_secs(75),
        }
    }
}
