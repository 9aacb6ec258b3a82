//! Limits of an HTTP listener.

use std::time::Duration;

/// Limits of an HTTP listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum number of open connections; further ones wait in the backlog of the operating system.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of path, query and all header names and values of a request together, in bytes.
    pub header_bytes: usize,
    /// Timeout from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Timeout from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
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
