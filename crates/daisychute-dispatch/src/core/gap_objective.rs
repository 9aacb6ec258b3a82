//! Cost of a prefill for the gaps between the events of other streams.
//!
//! An engine that generates prefills a prompt in chunks between the steps of its streams, so that a long prefill falls into
//! one or two gaps of each of them.

use crate::Route;

/// Share of an objective for gaps that prefills beside the stream may take; the rest is for the steps that make the event.
const SLACK_SHARE: f64 = 0.6;
/// Prefills up to this multiple of the slack violate no objective. On a day with uneven load, 1 stream in 10 more had too
/// long a gap beside a prefill of 0.3 of the slack.
const SAFE_PREFILL: f64 = 0.25;
/// Prefills from this multiple of the slack violate the objectives of all streams beside them: 6 streams in 10 there.
const FATAL_PREFILL: f64 = 2.0;

/// Objective for the gaps of streams like those of a route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GapObjective {
    /// Prefill time that fits into a gap, in ms.
    slack_ms: f64,
    /// Cost of a stream with too long a gap, in ms: as much as that of a late first output.
    violation_ms: f64,
}

impl GapObjective {
    /// Returns the objective of a route; `None` if the route has none.
    pub(crate) fn of(route: &Route) -> Option<Self> {
        let slack_ms = route.pause?.as_secs_f64() * 1e3 * SLACK_SHARE;
        let violation_ms = route.objective.as_secs_f64() * 1e3;
        (slack_ms > 0.0).then_some(Self { slack_ms, violation_ms })
    }

    /// Returns the cost for one stream of a prefill beside it that takes `prefill_ms`, in ms.
    pub(crate) fn cost_ms(self, prefill_ms: f64) -> f64 {
        let excess = prefill_ms / self.slack_ms - SAFE_PREFILL;
        (excess / (FATAL_PREFILL - SAFE_PREFILL)).clamp(0.0, 1.0) * self.violation_ms
    }
}
