//! Cache events, published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::cache::BlockHash;

/// The most events that are kept.
const MAX_EVENTS: usize = 4_096;

/// What happened to blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventType {
    /// They were put into memory.
    Stored,
    /// They were dropped from memory.
    Evicted,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number.
    pub seq: u64,
    /// What happened.
    pub r#type: CacheEventType,
    /// The blocks that it happened to.
    pub blocks: Vec<BlockHash>,
}

/// The answer to a question for events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The number to ask from next time.
    pub next: u64,
    /// Whether an event between the number asked from and `next` is missing.
    pub lost: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// The events of one start of the engine.
#[derive(Debug)]
pub(super) struct EventLog {
    lag: Duration,
    loss: Option<u64>,
    next: u64,
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

    /// The events from number `from` that are old enough to be shown.
    pub(super) fn from(&self, from: u64) -> CacheEvents {
        let now = Instant::now();
        let first = self.next - self.events.len() as u64;
        let shown = self.events.iter().take_while(|it| now.duration_since(it.0) >= self.lag);
        let shown: Vec<_> = shown.map(|it| &it.1).collect();
        let next = first + shown.len() as u64;
        let skipped = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let wanted = shown.get(skipped..).unwrap_or_default();
        let lost = from < first || from > self.next || wanted.iter().any(|it| it.is_none());
        let events = wanted.iter().filter_map(|it| (*it).clone()).collect();
        CacheEvents { next, lost, events }
    }
}
