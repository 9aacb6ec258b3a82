//! Refusals of requests as meant for another endpoint.

use std::time::Duration;

use daisychute_core::Time;

/// Whether requests are kept from an endpoint that refused some as meant for another one.
///
/// The address may belong to another endpoint by now, which only a directory record tells. It may as well be a request that
/// doesn't suit the endpoint, or a false refusal: a single response must not end the use of an endpoint for good, so that
/// it is tried again, the more rarely the more often it refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Misdirection {
    /// End of the time in which the endpoint gets no requests; `None` without a refusal since the last success.
    held_until: Option<Time>,
    /// Number of such times since the last success.
    refusals: u32,
}

impl Misdirection {
    /// Time without requests after the first refusal; it doubles with each further one.
    const INITIAL_HOLD: Duration = Duration::from_secs(1);
    const MAX_HOLD: Duration = Duration::from_secs(60);

    /// Records a refusal. Returns how long the endpoint gets no requests; `None` if that was known, since the request was
    /// sent before.
    pub(crate) fn record_refusal(&mut self, now: Time) -> Option<Duration> {
        if self.is_held(now) {
            return None;
        }
        let doubled = Self::INITIAL_HOLD.saturating_mul(2_u32.saturating_pow(self.refusals));
        let hold = doubled.min(Self::MAX_HOLD);
        self.refusals = self.refusals.saturating_add(1);
        self.held_until = Some(now + hold);
        Some(hold)
    }

    /// Whether the endpoint gets no requests.
    pub(crate) fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|it| now < it)
    }

    /// Records a response or a directory record, each of which shows that the endpoint is there.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
