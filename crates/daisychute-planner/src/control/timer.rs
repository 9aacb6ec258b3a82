//! Something that is due again and again.

use std::time::Duration;

use daisychute_core::Time;
use rand::Rng;

/// Something that is due at an interval, less up to half of it, so that processes that start together drift apart.
#[derive(Debug)]
pub(super) struct Every {
    interval: Duration,
    pub(super) next: Time,
}

impl Every {
    /// First due within an interval, or within `soon` if that is less.
    pub(super) fn new(interval: Duration, soon: Duration, rng: &mut impl Rng) -> Self {
        let next = Time::ZERO + drawn(interval.min(soon), rng);
        Self { interval, next }
    }

    /// Whether it is due; if so, it is due again after an interval.
    pub(super) fn take(&mut self, now: Time, rng: &mut impl Rng) -> bool {
        let due = self.next <= now;
        if due {
            self.next = now + self.interval / 2 + drawn(self.interval / 2, rng);
        }
        due
    }
}

fn drawn(span: Duration, rng: &mut impl Rng) -> Duration {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
    Duration::from_micros(rng.next_u64() % micros)
}
