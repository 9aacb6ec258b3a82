//! Rougher conditions: workers that go silent, turn slow, fail and spoil streams, fronts that are killed all at once, and
//! clients that leave a front in the middle of a stream.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::disruption::Disruption;

/// Number of clients, enough for [`SLOTS`] streams at once on some workers.
pub(super) const CLIENTS: u64 = 320;
/// Number of streams that a worker processes at once.
pub(super) const SLOTS: u32 = 64;
/// Time for which a worker is silent.
const SILENCE: Duration = Duration::from_millis(4_500);
/// One step in this many has something happen besides.
const STEP_INTERVAL: u32 = 4;
/// Offset from the seed of a run to that of its rough conditions.
const ROUGH_SEED: u64 = 1 << 58;

/// Chooses what happens besides. Its generator is one of its own, so that the other disruptions of a seed stay as they are.
#[derive(Debug)]
pub(super) struct Rough {
    rng: Pcg64Mcg,
    /// Number of steps in which something happened.
    steps: usize,
    pub(super) counts: RoughCounts,
}

impl Rough {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ROUGH_SEED);
        let steps = rng.random_range(0..4);
        Self { rng, steps, counts: RoughCounts::default() }
    }

    /// Seed of the faults of the next worker.
    pub(super) fn next_lapses(&mut self) -> u64 {
        self.rng.random()
    }

    /// What happens in a step of a fleet of this many workers and fronts, with the delay of each. Each kind has its turn.
    pub(super) fn next_disruptions(
        &mut self,
        workers: usize,
        fronts: usize,
    ) -> Vec<(Duration, Disruption)> {
        if self.rng.random_range(0..STEP_INTERVAL) != 0 {
            return Vec::new();
        }
        let worker = self.rng.random_range(0..workers);
        let silence = Disruption::PauseWorker(worker, SILENCE);
        self.steps += 1;
        match self.steps % 4 {
            0 | 1 => {
                self.counts.silent_workers += 1;
                vec![(Duration::ZERO, silence)]
            }
            2 => {
                self.counts.silent_workers += 1;
                // It never goes on.
                let crash = Disruption::KillWorker(worker, Duration::ZERO);
                vec![(Duration::ZERO, silence), (SILENCE * 9 / 10, crash)]
            }
            _ => {
                self.counts.kills_of_all_fronts += 1;
                (0..fronts).map(|it| (Duration::ZERO, Disruption::KillFront(it))).collect()
            }
        }
    }
}

/// What happened besides.
#[derive(Debug, Default)]
pub(crate) struct RoughCounts {
    pub(super) silent_workers: usize,
    pub(super) kills_of_all_fronts: usize,
    /// Number of streams whose client left a front in the middle, and went on at another one.
    pub(super) moved_clients: usize,
    /// Number of attempts that a worker ended early and in order.
    pub(super) truncated: usize,
}

impl RoughCounts {
    /// The cases that a run must have and this one hasn't.
    pub(super) fn missing_cases(&self) -> Vec<String> {
        let Self { silent_workers, kills_of_all_fronts, moved_clients, truncated } = self;
        let cases = [
            (silent_workers, "no silent worker"),
            (kills_of_all_fronts, "fronts never killed all at once"),
            (moved_clients, "no client left a front"),
            (truncated, "no stream truncated by a worker"),
        ];
        cases.iter().filter(|it| *it.0 == 0).map(|it| it.1.to_owned()).collect()
    }
}

impl fmt::Display for RoughCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { silent_workers, kills_of_all_fronts, moved_clients, truncated } = self;
        write!(
            f,
            "\n  rough: {silent_workers} silent workers, {kills_of_all_fronts} kills of all fronts, {moved_clients} clients left a front in a stream, {truncated} attempts truncated by workers"
        )
    }
}
