//! Timeouts and limits of the entry's core.

use std::time::Duration;

use daisychute_store::MemberSettings;

/// Timeouts and limits of the entry's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryConfig {
    /// Interval between heartbeats to connected agents.
    pub heartbeat: Duration,
    /// How long a request waits for a connection to the selected agent before it is retried elsewhere.
    pub connect_timeout: Duration,
    /// How long a request that was sent waits for a lost connection to be restored before its run counts as lost.
    pub resume_timeout: Duration,
    /// Delay before a lost connection is reopened for the requests that wait for it.
    pub reconnect_delay: Duration,
    /// Settings of the membership, which tracks the endpoints of the region.
    pub membership: MemberSettings,
    /// How long agents may take, at the end of a shutdown, to tell which requests have not run.
    pub withdrawal_timeout: Duration,
    /// How long after its deadline the entry ends a request that its agent has not ended.
    pub deadline_grace: Duration,
    /// Flow control window: bytes of one response that may be buffered until the client reads them.
    pub window: u32,
    /// Maximum number of runs of one request, including the first.
    pub max_attempts: u32,
    /// Maximum number of agents that may refuse one request as overloaded; the last refusal goes to the client.
    pub max_offers: u32,
    /// Retry delay reported to a refused client if the refusal carries none.
    pub retry_after: Duration,
    /// Maximum bytes of emitted text stored per request so that another endpoint can continue it.
    pub max_emitted_bytes: usize,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(1_000),
            resume_timeout: Duration::from_millis(1_500),
            reconnect_delay: Duration::from_millis(50),
            membership: MemberSettings::default(),
            withdrawal_timeout: Duration::from_millis(250),
            deadline_grace: Duration::from_millis(250),
            window: 256 << 10,
            max_attempts: 4,
            max_offers: 2,
            retry_after: Duration::from_secs(1),
            max_emitted_bytes: 1 << 20,
        }
    }
}
