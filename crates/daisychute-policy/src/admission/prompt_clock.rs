//! Times the prompts of an engine that computes several at once.

use std::time::Duration;

use daisychute_core::Time;

use crate::cost::CostModel;

/// Attributes an engine's time to the prompts that it computed.
///
/// First tokens that come together were computed in one step, so that their prompts share the time since the first
/// tokens before them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PromptClock {
    last: Time,
    tokens: u32,
    spent: Duration,
}

impl PromptClock {
    /// First tokens that come within this time came together.
    const TOGETHER: Duration = Duration::from_millis(1);

    /// The prompt of a request that was started at `started` is computed.
    pub(super) fn computed(
        &mut self,
        now: Time,
        started: Time,
        uncached: u32,
        cost: &mut CostModel,
    ) {
        if now.since(self.last) <= Self::TOGETHER {
            self.tokens += uncached;
            return;
        }
        cost.record_prefill(self.tokens, self.spent);
        let from = started.max(self.last);
        *self = Self { last: now, tokens: uncached, spent: now.since(from) };
    }
}
