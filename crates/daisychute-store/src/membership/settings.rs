//! Settings of the membership core.

use std::time::Duration;

/// Timeouts and the suspicion limit of the membership core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// Time without a message from an agent after which its connection is replaced by a new one.
    pub reconnect_after: Duration,
    /// Time without a message from an agent after which its endpoint is suspect.
    pub suspect_after: Duration,
    /// Time without a message from an agent after which its endpoint is removed, if the platform doesn't list it.
    pub remove_after: Duration,
    /// Maximum share of endpoints that may be suspect at once, in percent. At least one endpoint may always be.
    pub max_suspect_percent: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            reconnect_after: Duration::from_millis(1_500),
            suspect_after: Duration::from_secs(3),
            remove_after: Duration::from_secs(60),
            max_suspect_percent: 40,
        }
    }
}
