//! How long a connection may take and be silent.

use std::time::Duration;

/// Time limits of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkConfig {
    /// From opening the socket to the other side's hello.
    pub handshake: Duration,
    /// Without a frame from the other side for this long, the connection is given up as silent.
    pub silence: Duration,
}

impl LinkConfig {
    /// The same limits with this silence.
    #[must_use]
    pub const fn silence(mut self, span: Duration) -> Self {
        self.silence = span;
        self
    }
}

impl Default for LinkConfig {
    fn default() -> Self {
        Self { handshake: Duration::from_secs(2), silence: Duration::from_secs(3) }
    }
}
