//! Limits of the entry's core.

use std::time::Duration;

use daisychute_store::MemberSettings;

/// Limits of the entry's core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryConfig {
    /// The interval between two heartbeats.
    pub heartbeat: Duration,
    /// How long a request waits for a connection to the chosen agent.
    pub connect: Duration,
    /// How long a request waits for a lost connection to come back before it is run elsewhere.
    pub resume: Duration,
    /// The pause before a lost connection is opened again for the requests that wait for it.
    pub reconnect: Duration,
    /// How the endpoints of the region are kept.
    pub membership: MemberSettings,
    /// How long after its deadline a request is given up here, if its agent has not done so.
    pub deadline_grace: Duration,
    /// How many bytes of one answer may wait here for the caller.
    pub window: u32,
    /// Runs of one request, the first included.
    pub attempts: u32,
    /// Agents that one request is offered to while they refuse it as overloaded.
    pub offers: u32,
    /// When a caller is told to come back, if the load gives no better time.
    pub retry_after: Duration,
    /// The most bytes of emitted text kept for one request, to be continued elsewhere.
    pub emitted_bytes: usize,
}

impl Default for EntryConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            connect: Duration::from_millis(1_000),
            resume: Duration::from_millis(1_500),
            reconnect: Duration::from_millis(50),
            membership: MemberSettings::default(),
            deadline_grace: Duration::from_millis(250),
            window: 256 << 10,
            attempts: 4,
            offers: 2,
            retry_after: Duration::from_secs(1),
            emitted_bytes: 1 << 20,
        }
    }
}
