//! Requests that this front has in flight at an endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

use crate::{Backlog, PeerLoad, RequestKey};

#[derive(Debug, Clone, Copy)]
struct PendingPrefill {
    key: RequestKey,
    priority: u8,
    prefill_time: Duration,
    sent_at: Time,
}

/// Counts of this front's requests at one endpoint, and their prompts that wait for prefill.
#[derive(Debug, Clone, Default)]
pub(crate) struct InFlight {
    requests: u32,
    tokens: u64,
    // In the order of sending. Engines prefill the prompts of one priority in this order.
    pending: VecDeque<PendingPrefill>,
}

impl InFlight {
    /// Adds a request that was sent. `tokens` is its prompt length, `prefill_time` the predicted time to prefill it.
    pub(crate) fn add(
        &mut self,
        now: Time,
        key: RequestKey,
        priority: u8,
        tokens: u32,
        prefill_time: Duration,
    ) {
        self.requests += 1;
        self.tokens += u64::from(tokens);
        self.pending.push_back(PendingPrefill { key, priority, prefill_time, sent_at: now });
    }

    /// Removes the prompt of a request whose prefill is done; the request stays in flight.
    pub(crate) fn prefill_done(&mut self, key: RequestKey) {
        self.pending.retain(|it| it.key != key);
    }

    /// Removes a request that ended, with its prompt if that still waits.
    pub(crate) fn remove(&mut self, key: RequestKey, tokens: u32) {
        self.prefill_done(key);
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(tokens));
    }

    pub(crate) const fn requests(&self) -> u32 {
        self.requests
    }

    /// Returns the number of requests without an output.
    pub(crate) fn unanswered(&self) -> usize {
        self.pending.len()
    }

    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the prefill time of the requests without an output. Time that the engine already spent on them isn't
    /// deducted.
    pub(crate) fn pending_prefill(&self) -> Backlog {
        self.pending.iter().map(|it| (it.priority, it.prefill_time)).collect()
    }

    /// Returns the time since the oldest request without an output was sent; zero if there is none.
    pub(crate) fn oldest_pending(&self, now: Time) -> Duration {
        self.pending.front().map_or(Duration::ZERO, |it| now.since(it.sent_at))
    }

    /// Returns the load that heartbeats report to the other fronts.
    pub(crate) fn peer_load(&self, now: Time) -> PeerLoad {
        PeerLoad {
            requests: self.requests,
            pending_prefill: self.pending_prefill(),
            oldest_pending: self.oldest_pending(now),
            tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
        }
    }
}
