//! Limit that an endpoint names in its responses, and this front's share of it.

use std::time::Duration;

use daisychute_core::Time;

use crate::RequestRate;
use crate::fleet::front_position::FrontPosition;

/// The limit that an endpoint named last, shared equally by all fronts.
///
/// Time is divided into slots, as many a second over all fronts as the limit allows, and each front has its turn. A slot
/// takes one request. One that isn't used lapses, so that the fronts can't send together what they didn't send before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    rate: RequestRate,
    /// When a response last named it.
    named_at: Time,
    /// Number of fronts that share it, this one included.
    fronts: usize,
    /// Beginning of this front's present or next slot, if none has lapsed since.
    slot: Time,
}

impl NamedLimit {
    /// Number of slots that may be open at a time over all fronts, beyond as many as the limit allows in a second.
    const OPEN_SLOTS: f64 = 2.0;

    pub(crate) fn new(now: Time, rate: RequestRate, position: FrontPosition) -> Self {
        let FrontPosition { count, rank, .. } = position;
        let mut limit = Self { rate, named_at: now, fronts: count, slot: now };
        // The first slots of the fronts, which learn of the limit at about the same time, are evenly spaced.
        let phase = (rank as f64 + 0.5) / count as f64;
        limit.slot = now + limit.interval().mul_f64(phase);
        limit
    }

    pub(crate) const fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Time between the beginnings of two slots of this front.
    fn interval(&self) -> Duration {
        self.rate.interval().mul_f64(self.fronts as f64)
    }

    /// Time for which a slot is open.
    fn open_time(&self) -> Duration {
        let open_share = (self.rate.per_second() + Self::OPEN_SLOTS) / self.fronts as f64;
        self.interval().mul_f64(open_share.min(1.0))
    }

    /// Returns when the present slot began, or the next one begins.
    pub(crate) fn next_slot(&self, now: Time) -> Time {
        let lapsed = now.since(self.slot + self.open_time());
        if lapsed.is_zero() {
            return self.slot;
        }
        let interval = self.interval().max(Duration::from_micros(1));
        let slots = (lapsed.as_secs_f64() / interval.as_secs_f64()).ceil();
        self.slot + interval.mul_f64(slots)
    }

    /// Counts a request that is sent to the endpoint.
    pub(crate) fn record_send(&mut self, now: Time) {
        self.slot = self.next_slot(now) + self.interval();
    }

    /// Records that a response at `at` named a limit. Returns whether it differs from the one before.
    pub(crate) fn name(&mut self, now: Time, at: Time, rate: RequestRate) -> bool {
        self.named_at = self.named_at.max(at);
        if self.rate == rate {
            return false;
        }
        self.rescale(now, |it| it.rate = rate);
        true
    }

    /// Changes the number of fronts that share the limit.
    pub(crate) fn set_fronts(&mut self, now: Time, fronts: usize) {
        if self.fronts != fronts {
            self.rescale(now, |it| it.fronts = fronts);
        }
    }

    /// Applies a change of the interval. What is left until the next slot changes in proportion, so that the order of the
    /// fronts stays.
    fn rescale(&mut self, now: Time, change: impl FnOnce(&mut Self)) {
        let slot = self.next_slot(now);
        let before = self.interval().as_secs_f64();
        change(self);
        let after = self.interval().as_secs_f64();
        let left = slot.since(now);
        self.slot = if left.is_zero() { slot } else { now + left.mul_f64(after / before) };
    }

    /// Whether the endpoint named the limit later than at `at`.
    pub(crate) fn is_named_after(&self, at: Time) -> bool {
        at < self.named_at
    }
}
