//! Load reports, published with a delay.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Load report of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests that wait for the batch.
    pub waiting: u32,
    /// Number of prompt tokens pending prefill, of waiting and running requests.
    pub prompt_tokens_waiting: u32,
    /// Free KV memory, in tokens.
    pub kv_free_tokens: u32,
    /// Age of the report, in milliseconds.
    pub as_of_ms_ago: u64,
}

/// Load samples, back to the one that is reported now.
#[derive(Debug)]
pub(super) struct LoadHistory {
    lag: Duration,
    // Invariant: in order of time. After a trim, all but the first are younger than `lag`.
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

    /// Returns the load as of `lag` ago.
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
