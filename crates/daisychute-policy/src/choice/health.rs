//! Outlier ejection and slow start.

use std::time::Duration;

use daisychute_core::Time;

/// How an endpoint did lately.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    since: Time,
    failures: u32,
    ejections: u32,
    ejected_until: Time,
}

impl Health {
    const FAILURES: u32 = 3;
    const EJECTION: Duration = Duration::from_secs(2);
    const MAX_EJECTION: Duration = Duration::from_secs(60);
    /// A new endpoint reaches its full share after this time.
    const SLOW_START: Duration = Duration::from_secs(10);
    /// What a new endpoint's estimate is raised by at first.
    const SLOW_START_PENALTY: Duration = Duration::from_millis(200);

    pub(super) fn new(now: Time) -> Self {
        Self { since: now, failures: 0, ejections: 0, ejected_until: Time::ZERO }
    }

    /// An endpoint that was known before the selector was.
    pub(super) fn warm() -> Self {
        Self::new(Time::ZERO)
    }

    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    pub(super) fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures < Self::FAILURES {
            return;
        }
        self.failures = 0;
        let span = Self::EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejections = (self.ejections + 1).min(8);
        self.ejected_until = now + span.min(Self::MAX_EJECTION);
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// What the estimate is raised by while the endpoint warms up.
    pub(super) fn penalty(&self, now: Time) -> Duration {
        let age = now.since(self.since);
        if self.since == Time::ZERO || age >= Self::SLOW_START {
            return Duration::ZERO;
        }
        let left = 1.0 - age.as_secs_f64() / Self::SLOW_START.as_secs_f64();
        Self::SLOW_START_PENALTY.mul_f64(left)
    }
}
