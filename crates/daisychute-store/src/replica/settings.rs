//! Settings of a replica.

use std::time::Duration;

/// Timeouts and intervals of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Maximum time for which a starting process waits for a document from its peers before it reads the platform.
    /// Jitter shortens it by up to half.
    pub start_grace: Duration,
    /// How often a process that doesn't watch reads the platform. Jitter makes the average interval a quarter shorter.
    pub poll_interval: Duration,
    /// Initial bound of the retry delay after a failed call to the platform.
    pub first_retry: Duration,
    /// Maximum bound of the retry delay after a failed call.
    pub longest_retry: Duration,
    /// How long a peer may take to send its document before another peer is asked.
    pub pull_timeout: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            start_grace: Duration::from_secs(2),
            poll_interval: Duration::from_secs(60),
            first_retry: Duration::from_millis(200),
            longest_retry: Duration::from_secs(10),
            pull_timeout: Duration::from_secs(1),
        }
    }
}
