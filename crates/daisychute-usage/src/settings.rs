//! Durations and bounds of usage reports.

use std::time::Duration;

/// Durations of usage reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window.
    pub window: Duration,
    /// A front's share is complete this long after the end of its window. Longer than the time between the start of
    /// most requests and the response head that shows it.
    pub complete_after: Duration,
    /// The holder freezes a window at the latest this long after its end.
    pub freeze_after: Duration,
    /// A new holder waits this long before it freezes, so that the fronts can send it their shares twice. Also, a
    /// reporter reads the state no earlier after its start, so that it has heard its peers.
    pub settle: Duration,
    /// Between freezing a window and the first call, so that peers hear of the window before the API does.
    pub announce_lead: Duration,
    /// Timeout of a call. A call starts only if the lease is valid for longer.
    pub call_timeout: Duration,
    /// Between two calls. The API accepts 50 calls per second from all fronts together.
    pub call_interval: Duration,
    /// Before a failed call, read or write is repeated.
    pub retry: Duration,
    /// An unchanged share is sent again after this time, because datagrams get lost.
    pub resend: Duration,
    /// A front stops sending the share of a window this long after its end.
    pub keep: Duration,
}

impl UsageSettings {
    /// Most windows that a counter or collector holds.
    pub const MAX_WINDOWS: usize = 16;
    /// Most tenants in a window.
    pub const MAX_TENANTS: usize = 1_024;
    /// Most sources in a window of the collector.
    pub const MAX_SOURCES: usize = 4_096;
    /// Most reports in the state that the API has not acknowledged: about five minutes of windows of 5 s.
    pub const MAX_FROZEN: usize = 64;
    /// Most windows that are logged as unknown after an outage, an hour of windows of 5 s. Older ones are skipped.
    pub const MAX_UNKNOWN: u64 = 720;
}

impl Default for UsageSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            complete_after: Duration::from_millis(1_500),
            freeze_after: Duration::from_secs(6),
            settle: Duration::from_secs(1),
            announce_lead: Duration::from_millis(300),
            call_timeout: Duration::from_millis(1_500),
            call_interval: Duration::from_millis(100),
            retry: Duration::from_millis(500),
            resend: Duration::from_secs(1),
            keep: Duration::from_secs(60),
        }
    }
}
