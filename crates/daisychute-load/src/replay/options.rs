//! What a replay is varied by.

use std::time::Duration;

/// What a replay is varied by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Entries that share the requests and decide each for itself.
    pub entries: usize,
    /// The age of a load report when it reaches an entry.
    pub report_lag: Duration,
    /// How often an endpoint reports.
    pub report_every: Duration,
    /// Whether an entry asks the endpoints that it looks at for their load.
    pub probes: bool,
    /// The part of the cache events that is lost.
    pub cache_events_lost: f64,
    /// Seed of all that is drawn during the replay.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 3,
            report_lag: Duration::from_millis(200),
            report_every: Duration::from_millis(500),
            probes: true,
            cache_events_lost: 0.0,
            seed: 1,
        }
    }
}

impl Options {
    /// The same with so many entries.
    #[must_use]
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// The same with reports of this age.
    #[must_use]
    pub fn report_lag(mut self, lag: Duration) -> Self {
        self.report_lag = lag;
        self
    }

    /// The same with or without probes.
    #[must_use]
    pub fn probes(mut self, probes: bool) -> Self {
        self.probes = probes;
        self
    }

    /// The same with this part of the cache events lost.
    #[must_use]
    pub fn cache_events_lost(mut self, part: f64) -> Self {
        self.cache_events_lost = part;
        self
    }
}
