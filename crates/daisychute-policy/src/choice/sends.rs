//! What an entry sent to an endpoint since the endpoint's last report.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

/// Sends that no report holds yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Sends {
    recent: VecDeque<(Time, u32)>,
    // Invariant: the sum of the tokens in `recent`.
    prompt_tokens: u64,
}

impl Sends {
    /// A send counts for this long where no report follows.
    const LIFE: Duration = Duration::from_secs(5);

    pub(super) fn add(&mut self, now: Time, prompt_tokens: u32) {
        self.forget_before(now - Self::LIFE);
        self.recent.push_back((now, prompt_tokens));
        self.prompt_tokens += u64::from(prompt_tokens);
    }

    /// A report holds everything before `time`.
    pub(super) fn forget_before(&mut self, time: Time) {
        while let Some(&(at, tokens)) = self.recent.front() {
            if at >= time {
                return;
            }
            self.recent.pop_front();
            self.prompt_tokens -= u64::from(tokens);
        }
    }

    pub(super) fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    pub(super) fn count(&self) -> u32 {
        self.recent.len() as u32
    }
}
