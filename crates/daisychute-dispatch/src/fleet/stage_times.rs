//! Longest recent times of the stages that a route's requests go through.

use std::time::Duration;

use daisychute_core::Time;

use crate::ResponseTime;

/// Longest recent times of a prefill and of a run, for the requests of one route.
///
/// The time of a run is kept per token that its request may generate, so that requests for short and for long outputs
/// on one route are told apart.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StageTimes {
    prefill: ResponseTime,
    /// Time of a run per output token.
    run: ResponseTime,
}

impl StageTimes {
    /// Requests for fewer tokens count as this many: the time to their first output outweighs the rest.
    const MIN_OUTPUT: u32 = 16;

    /// Records the time from sending a prompt until it was prefilled.
    pub(crate) fn record_prefill(&mut self, now: Time, took: Duration) {
        self.prefill.record(now, took);
    }

    /// Records the time from sending a request that may generate `max_output` tokens until its response ended, or was
    /// given up.
    pub(crate) fn record_run(&mut self, now: Time, took: Duration, max_output: u32) {
        self.run.record(now, took / max_output.max(Self::MIN_OUTPUT));
    }

    /// Whether a stage ended in the window.
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        self.prefill.longest(now).or_else(|| self.run.longest(now)).is_some()
    }

    /// Returns the longest prefill in the window; `None` if there was none.
    pub(crate) fn longest_prefill(&self, now: Time) -> Option<Duration> {
        self.prefill.longest(now)
    }

    /// Returns the time of a run of this many tokens at the slowest pace in the window; `None` without any run.
    pub(crate) fn longest_run(&self, now: Time, max_output: u32) -> Option<Duration> {
        self.run.longest(now).map(|it| it * max_output.max(Self::MIN_OUTPUT))
    }
}
