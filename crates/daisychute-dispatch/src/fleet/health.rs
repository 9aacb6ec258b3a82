//! How an endpoint has done lately, by the results of this front's own requests.

use std::time::Duration;

use daisychute_core::Time;

/// Failures of one endpoint and what follows from them.
///
/// An endpoint that can't be reached, or that fails several times in a row, is left out for a while that doubles
/// with each further failure. A share of failures that is merely high makes it a worse choice.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Health {
    // Exponentially weighted share of failures, 0 to 1.
    failures: f64,
    in_row: u32,
    ejections: u32,
    ejected_until: Option<Time>,
}

impl Health {
    /// Weight of one result in the share of failures: about the last ten results count.
    const GAIN: f64 = 0.1;
    /// So many failures in a row leave the endpoint out: with a sound endpoint, one in a thousand runs of results.
    const ROW: u32 = 3;
    /// The first span without new work: shorter than most crashes, so that a reset alone costs little.
    const FIRST_EJECTION: Duration = Duration::from_millis(400);
    /// The longest span without new work: one request each such span tries a dead endpoint again.
    const LONGEST_EJECTION: Duration = Duration::from_secs(3);

    /// A request ended well.
    pub fn succeeded(&mut self) {
        self.failures *= 1.0 - Self::GAIN;
        self.in_row = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    /// A request failed at the endpoint.
    pub fn failed(&mut self, now: Time) {
        self.failures += Self::GAIN * (1.0 - self.failures);
        self.in_row += 1;
        if self.in_row >= Self::ROW {
            self.eject(now);
        }
    }

    /// The endpoint couldn't be reached.
    pub fn unreachable(&mut self, now: Time) {
        self.failures += Self::GAIN * (1.0 - self.failures);
        self.in_row += 1;
        self.eject(now);
    }

    fn eject(&mut self, now: Time) {
        if self.ejected_until.is_some_and(|it| it > now) {
            return;
        }
        let span = Self::FIRST_EJECTION * (1 << self.ejections.min(4));
        self.ejected_until = Some(now + span.min(Self::LONGEST_EJECTION));
        self.ejections += 1;
    }

    /// Whether it is left out at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        self.ejected_until.is_some_and(|it| it > now)
    }

    /// The share of failures among the latest results, 0 to 1.
    #[must_use]
    pub const fn failure_share(&self) -> f64 {
        self.failures
    }
}
