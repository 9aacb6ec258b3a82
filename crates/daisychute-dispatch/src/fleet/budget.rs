//! Retry budget of a service, and the share of it that one front may use.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// State of a [`RetryBudget`] at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetUse {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub used: u32,
    /// Number of retries in the window that this front may send.
    pub allowance: f64,
}

impl BudgetUse {
    /// Whether one more retry is within the allowance.
    #[must_use]
    pub fn allows_another(&self) -> bool {
        f64::from(self.used) + 1.0 <= self.allowance
    }
}

/// Counts the requests and retries of one service in a sliding window.
///
/// All fronts share one budget. Each front applies the ratio to the requests that it received itself, and takes an
/// equal share of the fixed part (`slack`), once it knows how many fronts there are.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    // Oldest first. Buckets that left the window are removed.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Buckets that a window is divided into. One more is kept, of which a part has left the window.
    const BUCKETS: u32 = 20;
    /// Share of the allowance that is used, so that requests at the edge of a window don't make the fleet exceed it.
    const USED_SHARE: f64 = 0.7;

    /// Creates a budget of `ratio` x requests + `slack` retries per `window`, for all fronts together.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window, buckets: VecDeque::new() }
    }

    /// Replaces the limits. Requests and retries of the old window keep their time.
    pub fn configure(&mut self, ratio: f64, slack: f64, window: Duration) {
        let (old_us, new_us) = (bucket_us(self.window), bucket_us(window));
        for bucket in &mut self.buckets {
            // Rounded up, so that a retry doesn't leave a shorter window too early.
            bucket.index = (bucket.index.saturating_add(1).saturating_mul(old_us) - 1) / new_us;
        }
        (self.ratio, self.slack, self.window) = (ratio, slack, window);
    }

    /// Counts a request that arrived.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).requests += 1;
    }

    /// Whether one more retry is within the budget of one front, if `fronts` fronts share it; `None` if their number isn't
    /// known.
    pub fn allows(&mut self, now: Time, fronts: Option<usize>) -> bool {
        self.usage(now, fronts).allows_another()
    }

    /// Returns what one front has used, and may use, if `fronts` fronts share the budget; `None` if their number isn't known.
    pub fn usage(&mut self, now: Time, fronts: Option<usize>) -> BudgetUse {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|it| it.requests).sum();
        BudgetUse { requests, used: self.used(), allowance: self.allowance(requests, fronts) }
    }

    fn allowance(&self, requests: u32, fronts: Option<usize>) -> f64 {
        let slack = fronts.map_or(0.0, |it| self.slack / it.max(1) as f64);
        Self::USED_SHARE * (self.ratio * f64::from(requests) + slack)
    }

    /// Counts a retry that was sent.
    pub fn record_retry(&mut self, now: Time) {
        self.current_bucket(now).retries += 1;
    }

    /// Returns the number of retries in the window.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.buckets.iter().map(|it| it.retries).sum()
    }

    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let index = now.as_micros() / bucket_us(self.window);
        let oldest = index.saturating_sub(u64::from(Self::BUCKETS));
        while self.buckets.front().is_some_and(|it| it.index < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| it.index < index) {
            self.buckets.push_back(Bucket { index, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Length of a bucket in microseconds; never zero.
fn bucket_us(window: Duration) -> u64 {
    (window / RetryBudget::BUCKETS).as_micros().max(1) as u64
}
