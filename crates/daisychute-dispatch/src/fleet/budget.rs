//! The share of the fleet's retry budget that one front may use.

use std::collections::VecDeque;
use std::time::Duration;

use daisychute_core::Time;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    extra: u32,
}

/// Counts requests and extra sends of one service in a sliding window.
///
/// All fronts share one budget. The part that grows with the requests divides by itself, since each front counts its
/// own; the fixed part is divided by the number of fronts.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    // Oldest first; their numbers lie within the window.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// The window is counted in so many steps, plus one that is partly over.
    const STEPS: u32 = 20;
    /// Used of the allowance, so that requests that arrive at the edge of a window don't exceed it.
    const SAFETY: f64 = 0.7;

    /// A budget of `ratio` x requests + `slack` in each `window`, for the whole fleet.
    #[must_use]
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self { ratio, slack, window, buckets: VecDeque::new() }
    }

    /// A request for the service came in.
    pub fn request(&mut self, now: Time) {
        self.bucket(now).requests += 1;
    }

    /// Whether an extra send is within the budget, for one of `fronts` fronts.
    pub fn allows(&mut self, now: Time, fronts: usize) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|it| it.requests).sum();
        f64::from(self.used()) + 1.0 <= self.allowance(requests, fronts)
    }

    fn allowance(&self, requests: u32, fronts: usize) -> f64 {
        let slack = self.slack / fronts.max(1) as f64;
        Self::SAFETY * (self.ratio * f64::from(requests) + slack)
    }

    /// An extra send went out.
    pub fn extra(&mut self, now: Time) {
        self.bucket(now).extra += 1;
    }

    /// Extra sends in the window.
    #[must_use]
    pub fn used(&self) -> u32 {
        self.buckets.iter().map(|it| it.extra).sum()
    }

    fn bucket(&mut self, now: Time) -> &mut Bucket {
        let step = (self.window / Self::STEPS).as_micros().max(1) as u64;
        let number = now.as_micros() / step;
        let oldest = number.saturating_sub(u64::from(Self::STEPS));
        while self.buckets.front().is_some_and(|it| it.number < oldest) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|it| it.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
