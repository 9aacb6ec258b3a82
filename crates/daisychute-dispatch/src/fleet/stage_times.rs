//! Longest recent times of the stages that requests go through.

use std::time::Duration;

use daisychute_core::Time;

use crate::RecentMaximum;

/// Longest recent times of the stages of requests for one route at one service.
///
/// The time from sending a request to its first output depends on the engine's queue and on the prompt, the time after
/// it on the length of the output: they are kept apart, the latter per token that a request may generate.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StageTimes {
    /// From sending a prompt until it was prefilled on an engine of its own.
    prefill: RecentMaximum,
    /// From sending a request until its first output; includes the wait and the prefill at the engine that generates.
    first_output: RecentMaximum,
    /// From the first output until the end, per token that the request may generate.
    pace: RecentMaximum,
}

/// Longest times of the stages of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LongestStages {
    /// Prefill on an engine of its own; zero if none ended recently.
    pub(crate) prefill: Duration,
    /// From sending the request until its first output.
    pub(crate) first_output: Duration,
    /// From the first output until the end.
    pub(crate) output: Duration,
}

impl StageTimes {
    /// Records the time from sending a prompt until it was prefilled.
    pub(crate) fn record_prefill(&mut self, now: Time, took: Duration) {
        self.prefill.record(now, took);
    }

    /// Records the time from sending a request until its first output.
    pub(crate) fn record_first_output(&mut self, now: Time, took: Duration) {
        self.first_output.record(now, took);
    }

    /// Records the time from the first output of a request that may generate `max_output` tokens until its response
    /// ended, or was given up.
    pub(crate) fn record_output(&mut self, now: Time, took: Duration, max_output: u32) {
        self.pace.record(now, took / max_output.max(1));
    }

    /// Whether a stage ended in the window.
    pub(crate) fn is_recent(&self, now: Time) -> bool {
        [self.prefill, self.first_output, self.pace].iter().any(|it| it.get(now).is_some())
    }

    /// Returns the longest times in the window, for a request that may generate `max_output` tokens. `None` if no response
    /// ended in it.
    pub(crate) fn longest(&self, now: Time, max_output: u32) -> Option<LongestStages> {
        let pace = self.pace.get(now)?;
        Some(LongestStages {
            prefill: self.prefill.get(now).unwrap_or_default(),
            first_output: self.first_output.get(now).unwrap_or_default(),
            output: (pace * max_output.max(1)).max(LongestStages::MIN_PACE * max_output),
        })
    }
}

impl LongestStages {
    /// Minimum time per token that a request may generate. Outputs that end long before their limit look faster.
    const MIN_PACE: Duration = Duration::from_millis(4);

    /// Includes the time for which a request that may generate `of` tokens has sent outputs, in a request for
    /// `max_output` tokens.
    pub(crate) fn include_output(&mut self, took: Duration, of: u32, max_output: u32) {
        self.output = self.output.max(took / of.max(1) * max_output.max(1));
    }

    /// Includes the time for which a request has waited for its first output.
    pub(crate) fn include_first_output(&mut self, took: Duration) {
        self.first_output = self.first_output.max(took);
    }
}
