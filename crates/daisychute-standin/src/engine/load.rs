//! Load reports, published late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// What an engine says of its load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait to be computed.
    pub prompt_tokens_waiting: u32,
    /// Free KV memory in tokens.
    pub kv_free_tokens: u32,
    /// How old this is, in milliseconds.
    pub as_of_ms_ago: u64,
}

/// The loads of the last while.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    // Invariant: in order of time; all but the first are younger than `lag`.
    samples: VecDeque<(Instant, Load)>,
}

impl LoadHistory {
    pub(super) fn new(lag: Duration, load: Load) -> Self {
        Self { lag, samples: VecDeque::from([(Instant::now(), load)]) }
    }

    pub(super) fn push(&mut self, load: Load) {
        self.samples.push_back((Instant::now(), load));
        self.trim();
    }

    /// The load of a lag ago.
    pub(super) fn report(&mut self) -> Load {
        self.trim();
        let load = self.samples.front().map(|it| it.1).unwrap_or_default();
        let as_of_ms_ago = u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX);
        Load { as_of_ms_ago, ..load }
    }

    fn trim(&mut self) {
        while self.samples.get(1).is_some_and(|it| it.0.elapsed() >= self.lag) {
            self.samples.pop_front();
        }
    }
}
