//! Settings of the order core.

use std::time::Duration;

/// The spans of the order core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long after it was sent an order may still reach the engine. It must exceed the deadline of the order call
    /// and the time for which an engine may leave an accepted connection unread.
    pub order_lifetime: Duration,
    /// How often the state of a changing engine is read.
    pub poll_interval: Duration,
    /// How often the state of an engine that is as it should be is read.
    pub check_interval: Duration,
    /// The first bound of the delay after a failed change.
    pub first_retry: Duration,
    /// The last bound of that delay.
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
