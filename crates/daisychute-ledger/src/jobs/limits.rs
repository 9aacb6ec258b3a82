//! Bounds and spans of time of jobs.

use std::time::Duration;

/// Bounds and spans of time of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLimits {
    /// The longest time that a job waits for others to be written with it.
    pub window: Duration,
    /// The largest segment or result object, in bytes.
    // Invariant: leaves room for the envelope in the platform's limit of 1 MiB.
    pub object_bytes: usize,
    /// Bytes of jobs that may wait to be written.
    pub pending_bytes: usize,
    /// The time between two tries of a write.
    pub retry: Duration,
    /// How long a segment is tried to be written before its submits are refused.
    // Invariant: less than `claim`.
    pub give_up: Duration,
    /// The time between two writes that keep a claim.
    // Invariant: less than half of `claim`.
    pub renew: Duration,
    /// How long a claim must stay unchanged before others may take it over.
    pub claim: Duration,
    /// How long a result may wait for others to be published with it.
    pub publish: Duration,
    /// How long a result is kept that nobody fetches, and a job that nobody runs.
    pub retention: Duration,
}

impl Default for JobLimits {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(500),
            object_bytes: 960 * 1024,
            pending_bytes: 32 * 1024 * 1024,
            retry: Duration::from_secs(1),
            give_up: Duration::from_secs(5),
            renew: Duration::from_secs(20),
            claim: Duration::from_secs(60),
            publish: Duration::from_secs(10),
            retention: Duration::from_secs(3 * 24 * 3_600),
        }
    }
}
