//! Settings of the membership core.

use std::time::Duration;

/// The spans and the bound of the membership core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberSettings {
    /// After this silence of an agent its connection is replaced by a new one.
    pub silence: Duration,
    /// After this silence of an agent its endpoint is suspect.
    pub suspect_after: Duration,
    /// After this silence of an agent an endpoint that isn't listed is forgotten.
    pub forget_after: Duration,
    /// The greatest share of the endpoints that may be suspect at once, in percent.
    pub max_suspect_percent: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_500),
            suspect_after: Duration::from_secs(3),
            forget_after: Duration::from_secs(60),
            max_suspect_percent: 40,
        }
    }
}
