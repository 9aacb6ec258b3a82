//! What an endpoint announced in its responses, which binds whatever the directory says.

use std::time::Duration;

use daisychute_core::Time;

use crate::RequestRate;
use crate::fleet::availability::Availability;
use crate::fleet::front_position::FrontPosition;
use crate::fleet::named_limit::NamedLimit;

/// Announcements of one incarnation of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Notice {
    /// Time of the next health check of an endpoint that announced to leave; `None` if it didn't.
    leaving_check: Option<Time>,
    /// End of the latest pause that the endpoint asked for; `None` if it never did.
    paused_until: Option<Time>,
    /// Responses since the end of the pause; each doubles the number of requests that may wait for their output.
    successes: u32,
    /// Limit on the rate of requests that the endpoint names; `None` if it names none.
    limit: Option<NamedLimit>,
}

impl Notice {
    /// Maximum duration of a pause. A longer wish can't be meant: an endpoint that is gone for so long leaves.
    pub(crate) const MAX_PAUSE: Duration = Duration::from_secs(600);
    /// After a pause, the number of requests that may wait for their output doubles at this interval at the latest.
    const RETURN_STEP: Duration = Duration::from_millis(250);
    /// Number of doublings after which the number of requests isn't limited any more.
    const RETURN_STEPS: u32 = 6;
    /// Interval between the health checks that find out whether an endpoint stays after all. Longer than most endpoints
    /// serve on after their announcement.
    const LEAVING_CHECK_INTERVAL: Duration = Duration::from_secs(20);

    /// Records that the endpoint is leaving. Returns whether that is news.
    pub(crate) fn record_leaving(&mut self, now: Time) -> bool {
        let is_news = self.leaving_check.is_none();
        if is_news {
            self.leaving_check = Some(now + Self::LEAVING_CHECK_INTERVAL);
        }
        is_news
    }

    /// Records that the endpoint stays after all.
    pub(crate) const fn record_staying(&mut self) {
        self.leaving_check = None;
    }

    pub(crate) const fn is_leaving(&self) -> bool {
        self.leaving_check.is_some()
    }

    /// Whether a health check of a leaving endpoint is due. Schedules the next one if it is.
    pub(crate) fn take_due_check(&mut self, now: Time) -> bool {
        let is_due = self.leaving_check.is_some_and(|it| it <= now);
        if is_due {
            self.leaving_check = Some(now + Self::LEAVING_CHECK_INTERVAL);
        }
        is_due
    }

    /// Records that the endpoint wants no requests for a time. A shorter wish doesn't shorten a longer one. Returns
    /// whether the pause became longer.
    pub(crate) fn record_pause(&mut self, now: Time, pause: Duration) -> bool {
        let until = now + pause;
        if pause.is_zero() || self.paused_until.is_some_and(|it| it >= until) {
            return false;
        }
        self.paused_until = Some(until);
        self.successes = 0;
        true
    }

    /// Records a response with an output. Those of requests that were sent before the pause don't count while it lasts.
    pub(crate) fn record_success(&mut self, now: Time) {
        if !self.is_paused(now) {
            self.successes = self.successes.saturating_add(1);
        }
    }

    pub(crate) fn is_paused(&self, now: Time) -> bool {
        self.paused_until.is_some_and(|it| now < it)
    }

    /// Records the limit in a response at `at`; `None` if it names none. Returns whether it differs from the one before.
    pub(crate) fn record_limit(
        &mut self,
        now: Time,
        limit: Option<RequestRate>,
        at: Time,
        position: FrontPosition,
    ) -> bool {
        if self.limit.is_some_and(|it| it.is_named_after(at)) {
            return false;
        }
        match (&mut self.limit, limit) {
            (Some(known), Some(rate)) => known.name(now, at, rate),
            (None, Some(rate)) => {
                self.limit = Some(NamedLimit::new(now, rate, position));
                true
            }
            (known, None) => known.take().is_some(),
        }
    }

    pub(crate) fn limit(&self) -> Option<RequestRate> {
        self.limit.map(|it| it.rate())
    }

    /// Counts a request that is sent to the endpoint.
    pub(crate) fn record_send(&mut self, now: Time) {
        if let Some(limit) = &mut self.limit {
            limit.record_send(now);
        }
    }

    /// Changes the number of fronts that share the endpoint.
    pub(crate) fn set_fronts(&mut self, now: Time, fronts: usize) {
        if let Some(limit) = &mut self.limit {
            limit.set_fronts(now, fronts);
        }
    }

    /// Returns whether and when an endpoint with this many requests without an output takes another one.
    pub(crate) fn availability(&self, now: Time, unanswered: usize) -> Availability {
        if let Some(until) = self.unavailable_until(now, unanswered) {
            return Availability::Paused(until);
        }
        let slot = self.limit.map(|it| it.next_slot(now)).filter(|it| now < *it);
        slot.map_or(Availability::Now, Availability::Limited)
    }

    /// Returns when an endpoint with this many requests without an output takes another one; `None` if it does at
    /// `now`.
    fn unavailable_until(&self, now: Time, unanswered: usize) -> Option<Time> {
        let until = self.paused_until?;
        if now < until {
            return Some(until);
        }
        let steps = now.since(until).as_micros() / Self::RETURN_STEP.as_micros();
        let doublings = self.successes.saturating_add(u32::try_from(steps).unwrap_or(u32::MAX));
        let is_full = doublings < Self::RETURN_STEPS && unanswered >= 1 << doublings;
        is_full.then_some(now + Self::RETURN_STEP)
    }
}
