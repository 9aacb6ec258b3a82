//! Cuts of fronts from others and the store, while workers of new software versions join.

use std::ops::Range;
use std::time::Duration;

use daisychute_platform_standin::{FrontRelays, StoreFault, WorkerKind};
use daisychute_standin::harness::ANY_PORT;
use daisychute_standin::relay::Relay;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use crate::checks::RequestRecord;
use crate::cuts::{Cut, CutCounts};
use crate::faults::Fault;
use crate::report::Report;
use crate::run::cleanups::FaultCleanup;
use crate::run::{Soak, SoakError, record};

/// Timeout of routes. A stream may be resumed for twice as long, and series of cuts begin further apart than that.
pub(super) const ROUTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Offset from the seed of a run to that of its cuts.
const CUT_SEED: u64 = 1 << 54;
/// Maximum number of cuts in a series.
const MAX_CUTS: u32 = 3;
/// Ranges of times in ms: of a cut, between the beginnings of two cuts of a series, from the beginning of a series until the
/// new version joins, from then until the old one leaves, and from then until the next series.
const CUT_MS: Range<u64> = 300..5_000;
const CUT_PAUSE_MS: Range<u64> = 0..1_500;
const JOIN_MS: Range<u64> = 0..800;
const RELEASE_MS: Range<u64> = 300..3_000;
const SETTLE_MS: Range<u64> = 2_500..4_000;
/// Workers of a new version.
const JOINING: [WorkerKind; 4] =
    [WorkerKind::Prefill, WorkerKind::Decode, WorkerKind::Decode, WorkerKind::Decode];
/// Service of the workers that are released.
const SERVICE: &str = "lm";

/// The cuts of a run, with a generator of their own.
pub(super) struct Cutting {
    rng: Pcg64Mcg,
    relays: FrontRelays,
    cuts: Vec<Cut>,
    next_series: Instant,
    /// Number of the latest software version.
    version: u32,
}

impl Cutting {
    pub(super) fn new(seed: u64, relays: FrontRelays) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ CUT_SEED);
        let next_series = Instant::now() + random_time(&mut rng, SETTLE_MS);
        Self { rng, relays, cuts: Vec::new(), next_series, version: 1 }
    }

    /// Chooses a cut of one of this many fronts.
    fn random_cut(&mut self, fronts: usize) -> Fault {
        let rng = &mut self.rng;
        // The first front has no seeds, from which others may take a snapshot of the directory beside the cut.
        let is_first = rng.random_range(0..2) == 0;
        let front = if is_first { 0 } else { rng.random_range(0..fronts) };
        let from_all = rng.random_range(0..2) == 0;
        let others = (0..fronts).filter(|it| *it != front);
        let others: Vec<_> = others.filter(|_| from_all || rng.random_range(0..2) == 0).collect();
        let from_store = others.is_empty() || rng.random_range(0..5) > 0;
        // Most cuts are short.
        let longest = rng.random_range(CUT_MS);
        let span = random_time(rng, CUT_MS.start..longest + 1);
        Fault::CutOff(front, others, from_store, span)
    }

    /// Chooses a series of cuts and a release, each with the time until then.
    fn next_series(&mut self, fronts: usize) -> Vec<(Duration, FaultCleanup)> {
        let mut series = Vec::new();
        let mut delay = Duration::ZERO;
        for _ in 0..self.rng.random_range(1..=MAX_CUTS) {
            series.push((delay, FaultCleanup::Follow(self.random_cut(fronts))));
            delay += random_time(&mut self.rng, CUT_PAUSE_MS);
        }
        let joined = random_time(&mut self.rng, JOIN_MS);
        let left = joined + random_time(&mut self.rng, RELEASE_MS);
        series.push((joined, FaultCleanup::Join));
        series.push((left, FaultCleanup::RetireOldVersion));
        self.next_series = Instant::now() + left + random_time(&mut self.rng, SETTLE_MS);
        series
    }
}

fn random_time(rng: &mut Pcg64Mcg, range_ms: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

impl Soak {
    /// Begins a series of cuts if one is due.
    pub(super) fn schedule_cuts(&mut self) {
        let now = Instant::now();
        let fronts = self.fleet.fronts.len();
        let Some(cutting) = self.cutting.as_mut().filter(|it| it.next_series <= now) else {
            return;
        };
        let series = cutting.next_series(fronts);
        self.cleanups.extend(series.into_iter().map(|(delay, it)| (now + delay, it)));
    }

    pub(super) fn begin_cut(&mut self, cut: Cut) {
        let Some(cutting) = &mut self.cutting else { return };
        let Cut { front, from_store, ends_at, .. } = cut;
        if from_store {
            self.fleet.fronts[front].store_listener.set_fault(Some(StoreFault::Silent));
        }
        cutting.cuts.push(cut);
        self.cleanups.push((ends_at, FaultCleanup::EndCut(front)));
        self.apply_cuts();
    }

    /// Ends the cuts of a front that are over.
    pub(super) fn end_cut(&self, front: usize) {
        let Some(cutting) = &self.cutting else { return };
        let now = Instant::now();
        let mut active = cutting.cuts.iter().filter(|it| it.is_active(now));
        if !active.any(|it| it.front == front && it.from_store) {
            self.fleet.fronts[front].store_listener.set_fault(None);
        }
        self.apply_cuts();
    }

    fn apply_cuts(&self) {
        let Some(cutting) = &self.cutting else { return };
        let now = Instant::now();
        let active: Vec<_> = cutting.cuts.iter().filter(|it| it.is_active(now)).collect();
        let name = |front: usize| format!("front-{front}");
        for a in 0..self.fleet.fronts.len() {
            for b in 0..a {
                let is_cut = active.iter().any(|it| it.separates(a, b));
                cutting.relays.set_cut(&name(a), &[&name(b)], is_cut);
            }
        }
    }

    /// Starts workers of a new software version.
    pub(super) async fn join(&mut self) -> Result<(), SoakError> {
        let Some(cutting) = &mut self.cutting else { return Ok(()) };
        cutting.version += 1;
        for kind in JOINING {
            let number = self.fleet.start_worker(SERVICE, kind).await?;
            let worker = &self.fleet.workers[number];
            worker.set_version(format!("v{}", cutting.version));
            let relay = Relay::start(ANY_PORT, worker.address(), ANY_PORT).await?;
            self.records.push(record(worker, &relay, "ready", None));
            self.relays.push(relay);
            self.fleet.store.put("servers", worker.id(), self.records[number].clone());
        }
        Ok(())
    }

    /// Takes the workers of all software versions but the latest out of the store, for good.
    pub(super) fn retire_old_version(&mut self) {
        let Some(cutting) = &self.cutting else { return };
        let version = format!("v{}", cutting.version);
        for (number, worker) in self.fleet.workers.iter().enumerate() {
            let record = &self.records[number];
            if record["service"] == SERVICE && record["version"] != version.as_str() {
                self.retired.insert(number);
                self.fleet.store.delete("servers", worker.id());
            }
        }
    }

    /// Counts the streams that were resumed at fronts that were cut off.
    pub(super) fn count_cuts(&self, report: &mut Report) {
        let Some(cutting) = &self.cutting else { return };
        let numbers = self.pool.front_numbers.borrow();
        let streams = self.pool.streams.borrow();
        let front_of = |it: &RequestRecord| numbers.get(&it.front).copied();
        report.cuts = Some(CutCounts::new(&cutting.cuts, &streams, front_of));
    }
}
