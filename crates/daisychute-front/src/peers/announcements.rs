//! News for the other fronts, repeated in several heartbeats because datagrams get lost.

use std::collections::VecDeque;
use std::iter;
use std::time::Duration;

use daisychute_core::Time;

/// How often and for how long news of one kind is announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnnouncementPolicy {
    /// Number of heartbeats that announce each piece of news.
    pub repetitions: usize,
    /// Maximum number of pieces in one heartbeat, which has to fit into its datagram.
    pub per_heartbeat: usize,
    /// Maximum number of pieces that wait to be announced.
    pub capacity: usize,
    /// Age from which a piece isn't announced any more.
    pub ttl: Duration,
}

/// Queue of the news of one kind.
///
/// All news are announced once, the latest first, before any is repeated; repetitions take turns. A surplus costs the
/// oldest of what was announced most often.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::Time;
/// use daisychute_front::{AnnouncementPolicy, Announcements};
///
/// let ttl = Duration::from_secs(5);
/// let policy = AnnouncementPolicy { repetitions: 2, per_heartbeat: 1, capacity: 8, ttl };
/// let mut news = Announcements::new(policy);
/// news.push(Time::ZERO, "first");
/// news.push(Time::ZERO, "second");
/// assert_eq!(news.take(Time::ZERO), ["second"]);
/// assert_eq!(news.take(Time::ZERO), ["first"]);
/// ```
#[derive(Debug, Clone)]
pub struct Announcements<T> {
    policy: AnnouncementPolicy,
    /// Pieces of news with the times at which they were queued; the index is the number of heartbeats that have
    /// announced them. Holds `policy.repetitions` queues with `policy.capacity` pieces in all. The first queue is in
    /// order of time, the others in order of the last announcement.
    rounds: Vec<VecDeque<(Time, T)>>,
}

impl<T: Clone> Announcements<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(policy: AnnouncementPolicy) -> Self {
        Self { policy, rounds: vec![VecDeque::new(); policy.repetitions] }
    }

    /// Queues a piece of news.
    pub fn push(&mut self, now: Time, news: T) {
        let Some(first) = self.rounds.first_mut() else { return };
        first.push_back((now, news));
        if self.len() > self.policy.capacity
            && let Some(last) = self.rounds.iter_mut().rev().find(|it| !it.is_empty())
        {
            last.pop_front();
        }
    }

    /// Returns the news for the next heartbeat, and counts this announcement.
    pub fn take(&mut self, now: Time) -> Vec<T> {
        let ttl = self.policy.ttl;
        for round in &mut self.rounds {
            round.retain(|it| now.since(it.0) < ttl);
        }
        let mut taken = Vec::new();
        for (before, round) in self.rounds.iter_mut().enumerate() {
            let count = round.len().min(self.policy.per_heartbeat - taken.len());
            let is_first = before == 0;
            let next = || if is_first { round.pop_back() } else { round.pop_front() };
            taken.extend(iter::from_fn(next).take(count).map(|it| (before, it)));
        }
        let news = taken.iter().map(|(_, it)| it.1.clone()).collect();
        for (before, announced) in taken {
            if let Some(round) = self.rounds.get_mut(before + 1) {
                round.push_back(announced);
            }
        }
        news
    }

    /// Returns the number of pieces that wait to be announced.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rounds.iter().map(VecDeque::len).sum()
    }

    /// Whether nothing waits to be announced.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
