//! The work that this front has at an endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

use crate::{PeerLoad, RequestKey};

#[derive(Debug, Clone, Copy)]
struct Unread {
    key: RequestKey,
    read: Duration,
    sent: Time,
}

/// Requests under way, and the prompts that wait to be read.
#[derive(Debug, Clone, Default)]
pub(crate) struct Work {
    requests: u32,
    tokens: u64,
    // In the order in which they were sent, which is that in which they are read.
    unread: VecDeque<Unread>,
    // When the last prompt was read.
    last_read: Time,
}

impl Work {
    /// A request of so many tokens was sent; reading its prompt takes `read`.
    pub(crate) fn sent(&mut self, now: Time, key: RequestKey, tokens: u32, read: Duration) {
        self.requests += 1;
        self.tokens += u64::from(tokens);
        self.unread.push_back(Unread { key, read, sent: now });
    }

    /// The prompt of a request was read. Returns whether it was known as unread.
    pub(crate) fn read(&mut self, now: Time, key: RequestKey) {
        let before = self.unread.len();
        self.unread.retain(|it| it.key != key);
        if self.unread.len() < before {
            self.last_read = now;
        }
    }

    /// A request has ended.
    pub(crate) fn ended(&mut self, now: Time, key: RequestKey, tokens: u32) {
        self.read(now, key);
        self.requests = self.requests.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(u64::from(tokens));
    }

    pub(crate) const fn requests(&self) -> u32 {
        self.requests
    }

    pub(crate) const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// How long the endpoint still reads prompts of this front.
    pub(crate) fn backlog(&self, now: Time) -> Duration {
        let all: Duration = self.unread.iter().map(|it| it.read).sum();
        let Some(first) = self.unread.front() else { return Duration::ZERO };
        let begun = self.last_read.max(first.sent);
        all.saturating_sub(now.since(begun).min(first.read))
    }

    /// What the other fronts are told.
    pub(crate) fn told(&self, now: Time) -> PeerLoad {
        let tokens = u32::try_from(self.tokens).unwrap_or(u32::MAX);
        PeerLoad { requests: self.requests, unread: self.backlog(now), tokens }
    }
}
