//! Timing of the order core.

use std::time::Duration;

/// Intervals and retry delays of the order core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long after sending an order may still reach the engine. It must exceed the timeout of the order call and the
    /// time for which an engine may leave an accepted connection unread.
    pub order_lifetime: Duration,
    /// Interval between state reads during a change, and after a failed read.
    pub poll_interval: Duration,
    /// Interval between state reads of an engine that needs no change.
    pub check_interval: Duration,
    /// Upper bound of the random delay after the first failed change.
    pub first_retry: Duration,
    /// Limit to which that bound grows with repeated failures.
    pub longest_retry: Duration,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            order_lifetime: Duration::from_secs(10),
            poll_interval: Duration::from_millis(500),
            check_interval: Duration::from_secs(5),
            first_retry: Duration::from_secs(1),
            longest_retry: Duration::from_secs(30),
        }
    }
}
