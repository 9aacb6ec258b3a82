//! Options of a replay.

use std::time::Duration;

/// Options of a replay, which the sensitivity measurements vary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Number of entries. Each request goes to one of them at random, and each entry decides on its own.
    pub entries: usize,
    /// Age of a load report when it reaches an entry.
    pub report_lag: Duration,
    /// Interval between the load reports of an endpoint.
    pub report_every: Duration,
    /// Whether an entry probes endpoints for their load before it selects one.
    pub probes: bool,
    /// Share of the cache events that is lost on the way to an entry, from 0 to 1.
    pub cache_events_lost: f64,
    /// Seed of all random decisions in the replay.
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
    /// Sets the number of entries.
    #[must_use]
    pub fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the age of load reports.
    #[must_use]
    pub fn report_lag(mut self, lag: Duration) -> Self {
        self.report_lag = lag;
        self
    }

    /// Turns probes on or off.
    #[must_use]
    pub fn probes(mut self, probes: bool) -> Self {
        self.probes = probes;
        self
    }

    /// Sets the share of lost cache events.
    #[must_use]
    pub fn cache_events_lost(mut self, share: f64) -> Self {
        self.cache_events_lost = share;
        self
    }
}
