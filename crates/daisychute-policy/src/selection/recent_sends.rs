//! The requests that an entry sent to an endpoint since the endpoint's last load report.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

/// Requests that the endpoint's load report doesn't include yet.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentSends {
    // Time and uncached prompt tokens of each send, oldest first.
    sends: VecDeque<(Time, u32)>,
    // Invariant: the sum of the tokens in `sends`.
    prompt_tokens: u64,
}

impl RecentSends {
    /// A send is dropped after this time even if no report follows.
    const TTL: Duration = Duration::from_secs(5);

    pub(super) fn add(&mut self, now: Time, prompt_tokens: u32) {
        self.forget_before(now - Self::TTL);
        self.sends.push_back((now, prompt_tokens));
        self.prompt_tokens += u64::from(prompt_tokens);
    }

    /// Drops the sends before `time`, which a load report includes.
    pub(super) fn forget_before(&mut self, time: Time) {
        while let Some(&(sent_at, tokens)) = self.sends.front() {
            if sent_at >= time {
                return;
            }
            self.sends.pop_front();
            self.prompt_tokens -= u64::from(tokens);
        }
    }

    /// Uncached prompt tokens of all sends.
    pub(super) fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }

    pub(super) fn count(&self) -> u32 {
        self.sends.len() as u32
    }
}
