//! Health of an endpoint, judged by the results of this front's own requests.

use std::time::Duration;

use daisychute_core::Time;

/// Failure statistics of one endpoint.
///
/// An endpoint that can't be reached or sends without end, or that fails several times in a row, is ejected: it gets no requests for a
/// time that doubles with each further ejection. Failures that don't eject an endpoint raise its failure share, which
/// makes it less likely to be selected.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    // Exponentially weighted moving average of the results, 0 (all succeeded) to 1 (all failed).
    failure_share: f64,
    consecutive_failures: u32,
    // Ejections since the last success; each doubles the duration of the next one.
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Weight of one result in the failure share: about the last ten results count.
    const GAIN: f64 = 0.1;
    /// Consecutive failures that eject an endpoint. A healthy endpoint reaches it about once in a thousand results.
    const EJECTION_THRESHOLD: u32 = 3;
    /// Duration of the first ejection. Shorter than most restarts after a crash, so that a single connection reset
    /// costs little.
    const FIRST_EJECTION: Duration = Duration::from_millis(400);
    /// Maximum duration of an ejection; a dead endpoint is tried again at this interval.
    const MAX_EJECTION: Duration = Duration::from_secs(3);

    /// Records a request that the endpoint completed. Ends an ejection.
    pub fn record_success(&mut self) {
        self.failure_share *= 1.0 - Self::GAIN;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// Records a request that failed at the endpoint; ejects it after several in a row.
    pub fn record_failure(&mut self, now: Time) {
        self.failure_share += Self::GAIN * (1.0 - self.failure_share);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= Self::EJECTION_THRESHOLD {
            self.eject(now);
        }
    }

    /// Records that the endpoint couldn't be reached or sends without end, and ejects it.
    pub fn record_severe_failure(&mut self, now: Time) {
        self.failure_share += Self::GAIN * (1.0 - self.failure_share);
        self.consecutive_failures += 1;
        self.eject(now);
    }

    /// Ejects the endpoint on a suspicion, which the end of the request confirms or clears.
    pub fn record_suspicion(&mut self, now: Time) {
        self.eject(now);
    }

    fn eject(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|it| it > now) {
            return;
        }
        let duration = Self::FIRST_EJECTION * (1 << self.ejections.min(4));
        self.ejected_until = Some(now + duration.min(Self::MAX_EJECTION));
        self.ejections += 1;
    }

    /// Whether the endpoint is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|it| it > now)
    }

    /// Returns the share of failures among the latest results, 0 to 1.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
