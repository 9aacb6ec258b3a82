//! Settings of a replica.

use std::time::Duration;

/// The spans of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// How long a process waits for its peers at its start before it reads the platform, at most.
    pub start_grace: Duration,
    /// How often a process that doesn't watch reads the platform, on average a quarter less.
    pub poll_interval: Duration,
    /// The first bound of the delay after a failure of the platform.
    pub first_retry: Duration,
    /// The last bound of that delay.
    pub longest_retry: Duration,
    /// How long a peer may take to send the document before another is asked.
    pub pull_deadline: Duration,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            start_grace: Duration::from_secs(2),
            poll_interval: Duration::from_secs(60),
            first_retry: Duration::from_millis(200),
            longest_retry: Duration::from_secs(10),
            pull_deadline: Duration::from_secs(1),
        }
    }
}
