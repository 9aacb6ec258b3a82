//! Ejection of failing endpoints and slow start of new ones.

use std::time::Duration;

use daisychute_core::Time;

/// The recent failures of an endpoint, and how long it has been known.
#[derive(Debug, Clone, Copy)]
pub(super) struct Health {
    // When the endpoint was first seen; zero if it needs no slow start.
    known_since: Time,
    consecutive_failures: u32,
    // Ejections since the last success, at most 8. Each doubles the next ejection.
    ejections: u32,
    ejected_until: Time,
}

impl Health {
    /// Consecutive failures after which an endpoint is ejected.
    const EJECTION_THRESHOLD: u32 = 3;
    /// Duration of the first ejection.
    const BASE_EJECTION: Duration = Duration::from_secs(2);
    /// Maximum duration of an ejection.
    const MAX_EJECTION: Duration = Duration::from_secs(60);
    /// Time after which a new endpoint's estimates are no longer raised.
    const SLOW_START: Duration = Duration::from_secs(10);
    /// Initial amount by which a new endpoint's estimates are raised; it falls linearly to zero.
    const SLOW_START_PENALTY: Duration = Duration::from_millis(200);

    /// A new endpoint, which starts slowly.
    pub(super) fn new(now: Time) -> Self {
        Self { known_since: now, consecutive_failures: 0, ejections: 0, ejected_until: Time::ZERO }
    }

    /// An endpoint that existed before the selector, which needs no slow start.
    pub(super) fn warm() -> Self {
        Self::new(Time::ZERO)
    }

    pub(super) fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.ejections = 0;
    }

    pub(super) fn record_failure(&mut self, now: Time) {
        self.consecutive_failures += 1;
        if self.consecutive_failures < Self::EJECTION_THRESHOLD {
            return;
        }
        self.consecutive_failures = 0;
        let duration = Self::BASE_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejections = (self.ejections + 1).min(8);
        self.ejected_until = now + duration.min(Self::MAX_EJECTION);
    }

    pub(super) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Amount by which the endpoint's estimate is raised during its slow start.
    pub(super) fn slow_start_penalty(&self, now: Time) -> Duration {
        let age = now.since(self.known_since);
        if self.known_since == Time::ZERO || age >= Self::SLOW_START {
            return Duration::ZERO;
        }
        let remaining = 1.0 - age.as_secs_f64() / Self::SLOW_START.as_secs_f64();
        Self::SLOW_START_PENALTY.mul_f64(remaining)
    }
}
