//! Settings of a lease.

use std::time::Duration;

/// Durations and intervals of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long the lease is valid after its last renewal.
    pub duration: Duration,
    /// Safety margin: the holder stops acting this long before the lease ends, and others acquire it only this long
    /// after.
    pub margin: Duration,
    /// Time from the first send of the holder's last successful write to its next renewal.
    // Invariant: well below `duration - margin`.
    pub renew_interval: Duration,
    /// How often other processes read the lease object. Jitter makes the average interval a quarter shorter.
    pub poll_interval: Duration,
    /// Initial bound of the retry delay after a failed call to the platform.
    pub first_retry: Duration,
    /// Maximum bound of the retry delay after a failed call.
    pub longest_retry: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(6),
            margin: Duration::from_secs(1),
            renew_interval: Duration::from_millis(1_500),
            poll_interval: Duration::from_secs(2),
            first_retry: Duration::from_millis(200),
            longest_retry: Duration::from_secs(5),
        }
    }
}
