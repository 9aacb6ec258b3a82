//! Quarantine of what endpoints end under.

use std::time::Duration;

use daisychute_core::Time;

/// Quarantine of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quarantine {
    /// Key of the part.
    pub part: u64,
    /// When the latest engine ended under the part. A complete response that ended later lifts the quarantine.
    pub since: Time,
    /// When a request with the part is sent to an engine again, as a trial.
    pub until: Time,
    /// Number of times that the part was quarantined without a complete response in between; each doubles the duration.
    pub strikes: u32,
}

impl Quarantine {
    /// Duration of a first quarantine.
    const FIRST_DURATION: Duration = Duration::from_secs(60);
    /// Maximum duration, after which a part that was mended is in use again.
    const MAX_DURATION: Duration = Duration::from_secs(3_600);

    pub(crate) fn new(part: u64, now: Time, since: Time, strikes: u32) -> Self {
        let doublings = strikes.saturating_sub(1).min(16);
        let duration = (Self::FIRST_DURATION * (1 << doublings)).min(Self::MAX_DURATION);
        Self { part, since, until: now + duration, strikes }
    }

    /// Whether requests with the part are refused at `now`.
    #[must_use]
    pub fn is_active(&self, now: Time) -> bool {
        now < self.until
    }
}
