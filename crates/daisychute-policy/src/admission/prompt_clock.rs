//! Measures the prefill time of an engine that prefills several prompts in one step.

use std::time::Duration;

use daisychute_core::Time;

use crate::cost::CostModel;

/// Attributes an engine's time to the prompts that it prefilled.
///
/// First tokens that arrive together come from the same step: their prompts share the time since the previous step's
/// first tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PromptClock {
    // When the first of the current step's first tokens arrived.
    step_at: Time,
    // Uncached prompt tokens that the current step prefilled.
    step_tokens: u32,
    // Prefill time of the current step.
    step_time: Duration,
}

impl PromptClock {
    /// First tokens that arrive within this time belong to the same step.
    const SAME_STEP_WINDOW: Duration = Duration::from_millis(1);

    /// Records the end of the prefill of a request that was started at `started`. Once the next step begins, the
    /// previous one is added to `cost`.
    pub(super) fn record_prefill_end(
        &mut self,
        now: Time,
        started: Time,
        uncached: u32,
        cost: &mut CostModel,
    ) {
        if now.since(self.step_at) <= Self::SAME_STEP_WINDOW {
            self.step_tokens += uncached;
            return;
        }
        cost.record_prefill(self.step_tokens, self.step_time);
        let step_start = started.max(self.step_at);
        *self = Self { step_at: now, step_tokens: uncached, step_time: now.since(step_start) };
    }
}
