//! How the workers of a seed leave, and what happens beside it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use daisychute_platform_standin::{Departure, WorkerManners};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::disruption::Disruption;

/// Maximum time from the request to stop until a worker ends, in ms.
const MAX_END_DELAY_MS: u64 = 1_000;
/// One worker in this many closes each connection after one response.
const ONE_RESPONSE_INTERVAL: u32 = 4;
/// One step in this many has a worker stop besides.
const STOP_INTERVAL: u32 = 2;
/// Maximum time between the suspension of a front and the stop of a worker, in ms.
const MAX_OFFSET_MS: u64 = 150;
/// Range of the time for which a front is suspended, in ms.
const SUSPENSION_MS: std::ops::Range<u64> = 20..800;
/// Offset from the seed of a run to that of its departures.
const DEPARTURE_SEED: u64 = 1 << 57;
/// Offset from the seed of a run to that of the ends of cancelled streams.
const LAST_CHUNK_SEED: u64 = 1 << 60;
/// One worker in this many ends the chunked streams that it cancels by a last chunk.
const LAST_CHUNK_INTERVAL: u32 = 2;

/// Chooses how workers leave. Its generator is one of its own, so that the other disruptions of a seed stay as they are.
#[derive(Debug)]
pub(super) struct Departures {
    rng: Pcg64Mcg,
    /// Chooses how cancelled streams end.
    last_chunk_rng: Pcg64Mcg,
    /// Number of workers that it was asked for.
    workers: usize,
}

impl Departures {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ DEPARTURE_SEED);
        let workers = rng.random_range(0..Departure::GRADUAL.len());
        let last_chunk_rng = Pcg64Mcg::seed_from_u64(seed ^ LAST_CHUNK_SEED);
        Self { rng, last_chunk_rng, workers }
    }

    /// How the next worker treats its connections. Each gradual way has its turn.
    pub(super) fn next_manners(&mut self) -> WorkerManners {
        self.workers += 1;
        let departure = Departure::GRADUAL[self.workers % Departure::GRADUAL.len()];
        let last_chunks = self.last_chunk_rng.random_range(0..LAST_CHUNK_INTERVAL) == 0;
        WorkerManners {
            departure,
            end_delay: Duration::from_millis(self.rng.random_range(0..=MAX_END_DELAY_MS)),
            one_response: self.rng.random_range(0..ONE_RESPONSE_INTERVAL) == 0,
            lapses: None,
            deadlines: None,
            last_chunks: last_chunks && departure.cancels_streams(),
        }
    }

    /// What happens in a step of a fleet of this many workers and fronts, with the delay of each.
    pub(super) fn next_disruptions(
        &mut self,
        workers: usize,
        fronts: usize,
    ) -> Vec<(Duration, Disruption)> {
        let rng = &mut self.rng;
        if rng.random_range(0..STOP_INTERVAL) != 0 {
            return Vec::new();
        }
        let worker = rng.random_range(0..workers);
        let front = rng.random_range(0..fronts);
        let offset = Duration::from_millis(rng.random_range(0..MAX_OFFSET_MS));
        let span = Duration::from_millis(rng.random_range(SUSPENSION_MS));
        match rng.random_range(0..8) {
            0 | 1 => vec![(Duration::ZERO, Disruption::StopWorker(worker))],
            2 | 3 => vec![
                (Duration::ZERO, Disruption::SuspendFront(front, span)),
                (offset, Disruption::StopWorker(worker)),
            ],
            4 | 5 => vec![
                (Duration::ZERO, Disruption::StopWorker(worker)),
                (offset, Disruption::SuspendFront(front, span)),
            ],
            choice => {
                let end_front =
                    if choice == 6 { Disruption::StopFront } else { Disruption::KillFront };
                let stops = (0..3).map(|it| Disruption::StopWorker((worker + it) % workers));
                let all = stops.chain([end_front(front)]);
                all.map(|it| (Duration::ZERO, it)).collect()
            }
        }
    }
}

/// How many workers left in which way, and how many fronts were suspended meanwhile.
#[derive(Debug, Default)]
pub(crate) struct DepartureCounts {
    pub(super) workers: BTreeMap<Departure, usize>,
    pub(super) suspended_fronts: usize,
}

impl DepartureCounts {
    /// The cases that a run must have and this one hasn't.
    pub(super) fn missing_cases(&self) -> Vec<String> {
        let unused = Departure::GRADUAL.iter().filter(|it| !self.workers.contains_key(it));
        let mut missing: Vec<_> = unused.map(|it| format!("no worker left {it}")).collect();
        if self.suspended_fronts == 0 {
            missing.push("no front suspended".to_owned());
        }
        missing
    }
}

impl fmt::Display for DepartureCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\n  departures:")?;
        for (departure, count) in &self.workers {
            write!(f, " {departure} {count},")?;
        }
        write!(f, " {} fronts suspended", self.suspended_fronts)
    }
}
