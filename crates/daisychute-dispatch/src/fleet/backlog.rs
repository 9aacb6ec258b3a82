//! Pending prefill work of an endpoint, by the priority of the routes.

use std::ops::{Add, AddAssign};
use std::time::Duration;

/// Time that an endpoint needs to prefill the prompts that wait there, by priority.
///
/// Engines that also generate prefill the prompts of more urgent requests first. A request therefore waits only for
/// prompts of its own and of more urgent priorities, and for the chunk that is being prefilled.
///
/// ```
/// use std::time::Duration;
/// use daisychute_dispatch::Backlog;
///
/// let backlog = Backlog::of(1, Duration::from_millis(500));
/// assert_eq!(backlog.wait_at(1), Duration::from_millis(500));
/// assert!(backlog.wait_at(0) < Duration::from_millis(500));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    by_priority: [Duration; Self::PRIORITIES],
}

impl Backlog {
    /// Number of priorities that are counted separately; less urgent ones count as the last.
    pub const PRIORITIES: usize = 10;
    /// Time to prefill one chunk. Engines prefill a long prompt in chunks of 4,096 tokens, at 60 to 90 tokens per
    /// millisecond, and finish the current chunk before they switch to another prompt.
    const PREFILL_CHUNK_TIME: Duration = Duration::from_millis(60);

    /// Returns a backlog that has prompts of one priority only.
    #[must_use]
    pub fn of(priority: u8, time: Duration) -> Self {
        let mut backlog = Self::default();
        backlog.push(priority, time);
        backlog
    }

    /// Adds prompts of this priority that take `time` to prefill.
    pub fn push(&mut self, priority: u8, time: Duration) {
        self.by_priority[Self::index(priority)] += time;
    }

    /// Returns the backlog after `elapsed` of prefill work, done in order of priority.
    #[must_use]
    pub(crate) fn remaining_after(mut self, mut elapsed: Duration) -> Self {
        for pending in &mut self.by_priority {
            let done = elapsed.min(*pending);
            *pending -= done;
            elapsed -= done;
        }
        self
    }

    /// Returns how long a new request of this priority waits until its own prefill starts.
    #[must_use]
    pub fn wait_at(&self, priority: u8) -> Duration {
        let (ahead, behind) = self.by_priority.split_at(Self::index(priority) + 1);
        let behind: Duration = behind.iter().sum();
        ahead.iter().sum::<Duration>() + behind.min(Self::PREFILL_CHUNK_TIME)
    }

    /// Returns how long a new request waits at an engine that prefills prompts in the order of arrival.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.by_priority.iter().sum()
    }

    /// Whether no prompt waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_priority.iter().all(Duration::is_zero)
    }

    /// Returns the priorities that have prompts waiting, each with the time to prefill them.
    pub fn iter(&self) -> impl Iterator<Item = (u8, Duration)> {
        let priorities = (0u8..).zip(self.by_priority);
        priorities.filter(|(_, time)| !time.is_zero())
    }

    fn index(priority: u8) -> usize {
        usize::from(priority).min(Self::PRIORITIES - 1)
    }
}

impl Add for Backlog {
    type Output = Self;

    fn add(mut self, other: Self) -> Self {
        self += other;
        self
    }
}

impl AddAssign for Backlog {
    fn add_assign(&mut self, other: Self) {
        for (time, more) in self.by_priority.iter_mut().zip(other.by_priority) {
            *time += more;
        }
    }
}

impl FromIterator<(u8, Duration)> for Backlog {
    fn from_iter<I: IntoIterator<Item = (u8, Duration)>>(times: I) -> Self {
        let mut backlog = Self::default();
        for (priority, time) in times {
            backlog.push(priority, time);
        }
        backlog
    }
}

impl std::iter::Sum for Backlog {
    fn sum<I: Iterator<Item = Self>>(backlogs: I) -> Self {
        backlogs.fold(Self::default(), Self::add)
    }
}
