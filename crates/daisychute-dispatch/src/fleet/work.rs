//! The work that this front has at an endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

use crate::{Backlog, PeerLoad, RequestKey};

#[derive(Debug, Clone, Copy)]
struct Unread {
    key: RequestKey,
    rank: u8,
    read: Duration,
    sent: Time,
}

/// Requests under way, and the prompts that wait to be read.
#[derive(Debug, Clone, Default)]
pub(crate) struct Work {
    requests: u32,
    tokens: u64,
    // In the order in which they were sent, which is that in which those of one rank are read.
    unread: VecDeque<Unread>,
}

impl Work {
    /// A request of so many tokens was sent; reading its prompt takes `read`.
    pub(crate) fn sent(
        &mut self,
        now: Time,
        key: RequestKey,
        rank: u8,
        tokens: u32,
        read: Duration,
    ) {
        self.requests += 1;
        self.tokens += u64::from(tokens);
        self.unread.push_back(Unread { key, rank, read, sent: now });
    }

    /// The prompt of a request was read.
    pub(crate) fn read(&mut self, key: RequestKey) {
        self.unread.retain(|it| it.key != key);
    }

    /// A request has ended.
    pub(crate) fn ended(&mut self, key: RequestKey, tokens: u32) {
        self.read(key);
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(tokens));
    }

    pub(crate) const fn requests(&self) -> u32 {
        self.requests
    }

    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// The prompts that have shown no output yet, in full.
    pub(crate) fn unread(&self) -> Backlog {
        self.unread.iter().map(|it| (it.rank, it.read)).collect()
    }

    /// How long the oldest of them has been there.
    pub(crate) fn oldest_unread(&self, now: Time) -> Duration {
        self.unread.front().map_or(Duration::ZERO, |it| now.since(it.sent))
    }

    /// What the other fronts are told.
    pub(crate) fn told(&self, now: Time) -> PeerLoad {
        PeerLoad {
            requests: self.requests,
            pending_prefill: self.unread(),
            oldest_pending: self.oldest_unread(now),
            tokens: u32::try_from(self.tokens).unwrap_or(u32::MAX),
        }
    }
}
