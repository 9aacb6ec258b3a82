//! Settings of a lease.

use std::time::Duration;

/// The spans of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// How long the lease lasts after its last renewal.
    pub duration: Duration,
    /// How long before the end its holder stops to act, and how long after it others wait before they take it.
    pub margin: Duration,
    /// How often the holder renews.
    // Invariant: well below `duration - margin`.
    pub renew_interval: Duration,
    /// How often the others look, on average a quarter less.
    pub poll_interval: Duration,
    /// The first bound of the delay after a failure of the platform.
    pub first_retry: Duration,
    /// The last bound of that delay.
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
