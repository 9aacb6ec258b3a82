//! Timer of periodic calls.

use std::time::Duration;

use daisychute_core::Time;
use rand::Rng;

/// An interval that is shortened by a random part of up to half of it each time, so that processes that start together
/// don't call at the same time.
#[derive(Debug)]
pub(super) struct JitteredInterval {
    interval: Duration,
    /// When the interval expires next.
    pub(super) next: Time,
}

impl JitteredInterval {
    /// Creates a timer that first expires at a random time within the shorter of `interval` and `max_first_delay`.
    pub(super) fn new(interval: Duration, max_first_delay: Duration, rng: &mut impl Rng) -> Self {
        let next = Time::ZERO + random_below(interval.min(max_first_delay), rng);
        Self { interval, next }
    }

    /// Returns whether the interval has expired, and if so starts the next one.
    pub(super) fn take_expired(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let expired = self.next <= now;
        if expired {
            self.next = now + self.interval / 2 + random_below(self.interval / 2, rng);
        }
        expired
    }
}

fn random_below(span: Duration, rng: &mut impl Rng) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(rng.next_u64() % micros)
}
