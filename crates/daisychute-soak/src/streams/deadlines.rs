//! Deadlines of streams, and what workers did at them.

use std::collections::BTreeMap;
use std::fmt;

use daisychute_platform_standin::{StopWay, StoppedStream};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Deadlines of streams that may be resumed and of others, in ms.
pub(super) const DEADLINES_MS: (u64, u64) = (6_000, 4_000);
/// One stream in this many has a shorter deadline.
const SHORT_INTERVAL: u32 = 2;
/// Range of a shorter deadline, in percent of the time that a sound worker takes for the stream.
const SHORT_PERCENT: std::ops::RangeInclusive<u64> = 25..=125;
/// Minimum of a shorter deadline, in ms.
const MIN_SHORT_MS: u64 = 60;
/// One stream in this many is longer than the time for which leaving workers serve, if its events allow.
const LONG_INTERVAL: u32 = 4;
/// Time of such a stream, in ms, and upper bound of the pause before each event.
const LONG_MS: (u32, u32) = (5_000, 300);
/// Offset from the seed of a run, or of a client, to that of its deadlines.
const DEADLINE_SEED: u64 = 1 << 59;

/// Chooses the deadlines of a client, or the ways in which workers stop at them. Its generator is one of its own, so that all
/// else of a seed stays as it is.
#[derive(Debug)]
pub(super) struct Deadlines(Pcg64Mcg);

impl Deadlines {
    pub(super) fn new(seed: u64) -> Self {
        Self(Pcg64Mcg::seed_from_u64(seed ^ DEADLINE_SEED))
    }

    /// Seed of the ways in which the next worker stops.
    pub(super) fn next_worker(&mut self) -> u64 {
        self.0.random()
    }

    /// Pause before each event of the next stream, in ms, where it would be this long.
    pub(super) fn next_interval_ms(&mut self, events: u32, interval_ms: u32) -> u32 {
        let (stream_ms, pause_ms) = LONG_MS;
        let is_long = self.0.random_range(0..LONG_INTERVAL) == 0;
        if is_long { pause_ms.min(stream_ms / events) } else { interval_ms }
    }

    /// Deadline of a stream for which a sound worker takes this long, in ms.
    pub(super) fn next_ms(&mut self, resumable: bool, stream_ms: u64) -> u64 {
        let longest = if resumable { DEADLINES_MS.0 } else { DEADLINES_MS.1 };
        let percent = self.0.random_range(SHORT_PERCENT);
        let is_short = self.0.random_range(0..SHORT_INTERVAL) == 0;
        let short = (stream_ms * percent / 100).clamp(MIN_SHORT_MS, longest);
        if is_short { short } else { longest }
    }
}

/// How many attempts workers stopped in which way, and how many of them fronts had given up before.
#[derive(Debug, Default)]
pub(super) struct StopCounts(BTreeMap<StopWay, (usize, usize)>);

impl StopCounts {
    pub(super) fn add(&mut self, stopped: &StoppedStream) {
        let (count, given_up) = self.0.entry(stopped.way).or_default();
        *count += 1;
        *given_up += usize::from(stopped.given_up);
    }

    /// Number of attempts that were stopped in this way.
    pub(super) fn count(&self, way: StopWay) -> usize {
        self.0.get(&way).map_or(0, |it| it.0)
    }
}

impl fmt::Display for StopCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("stopped by workers")?;
        for (way, (count, given_up)) in &self.0 {
            write!(f, " {way} {count} ({given_up} given up before)")?;
        }
        f.write_str(if self.0.is_empty() { " none" } else { "" })
    }
}
