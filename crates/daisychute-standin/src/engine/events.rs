//! Log of cache events, published with a delay and, if configured, with losses.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::BlockHash;

/// Maximum number of events in the log; the oldest ones are dropped.
const MAX_EVENTS: usize = 4_096;

/// Kind of change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventType {
    /// The blocks were added.
    Stored,
    /// The blocks were removed.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, counted from zero at each start of the engine.
    pub seq: u64,
    /// Kind of the change.
    pub r#type: CacheEventType,
    /// Hashes of the blocks added or removed.
    pub blocks: Vec<BlockHash>,
}

/// Response of `GET /cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number from which to continue reading.
    pub next: u64,
    /// Whether an event between the requested number and `next` is missing.
    pub lost: bool,
    /// Available events from the requested number on.
    pub events: Vec<CacheEvent>,
}

/// Events since the last start of the engine.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    /// Every N-th event is lost.
    loss: Option<u64>,
    next: u64,
    /// Events with their times; `None` for a lost one.
    events: VecDeque<(Instant, Option<CacheEvent>)>,
}

impl EventLog {
    pub(super) fn new(lag: Duration, loss: Option<u64>) -> Self {
        Self { lag, loss, next: 0, events: VecDeque::new() }
    }

    pub(super) fn push(&mut self, r#type: CacheEventType, blocks: Vec<BlockHash>) {
        if blocks.is_empty() {
            return;
        }
        let seq = self.next;
        self.next += 1;
        let lost = self.loss.is_some_and(|it| it > 0 && seq % it == it - 1);
        let event = (!lost).then_some(CacheEvent { seq, r#type, blocks });
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events from number `from` on that are at least as old as the delay.
    pub(super) fn since(&self, from: u64) -> CacheEvents {
        let now = Instant::now();
        let first = self.next - self.events.len() as u64;
        let published = self.events.iter().take_while(|it| now.duration_since(it.0) >= self.lag);
        let published: Vec<_> = published.map(|it| &it.1).collect();
        let next = first + published.len() as u64;
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let requested = published.get(skipped..).unwrap_or_default();
        let lost = from < first || from > self.next || requested.iter().any(|it| it.is_none());
        let events = requested.iter().filter_map(|it| (*it).clone()).collect();
        CacheEvents { next, lost, events }
    }
}
