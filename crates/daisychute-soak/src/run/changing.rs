//! Changes of the configuration and of workers, beside disruptions of the store.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::Worker;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::time::Instant;

use crate::changes::{SERVICES, routes, unused_routes};
use crate::clients::run_probing_client;
use crate::faults::Fault;
use crate::report::Report;
use crate::run::cleanups::FaultCleanup;
use crate::run::{Soak, SoakError};

/// Offsets from the seed of a run to those of its further generators.
const CHANGE_SEED: u64 = 1 << 57;
const PROBING_CLIENT_SEED: u64 = 1 << 56;
/// Number of workers of each service of [`SERVICES`], if routes are moved between them.
pub(super) const WORKERS_PER_SERVICE: usize = 4;
/// Settings of fronts that meet changes: those of a deployment with 24 fronts.
pub(super) const CHANGE_SETTINGS: &str = "[machine]\nmemory-mib = 260\ndescriptors = 4100\n[retries]\nratio = 0.2\nwindow = 10s\nslack = 88\n";
/// One in this many steps changes the configuration or the workers, and one in this many of these begins a series.
const CHANGE_INTERVAL: u32 = 3;
const CHANGE_SERIES_INTERVAL: u32 = 12;
/// Number of further configurations in a series, and the maximum time until the last one, in ms.
const CHANGE_SERIES: u32 = 6;
const CHANGE_SERIES_MS: u64 = 800;
/// Range of the times between two disruptions of the store as a whole, in ms. Bounds hold for part of it.
const STORE_FAULT_INTERVAL_MS: Range<u64> = 9_000..16_000;
/// Number of fronts with which each step has a fault beside the changes. With fewer fronts fewer steps have one, so that
/// fronts aren't disturbed all the time.
pub(super) const FRONTS_OF_DENSE_FAULTS: usize = 24;
/// Number of routes that make a configuration large, and the rate of a slow link, on which it takes most of a second, in bytes
/// per second.
const UNUSED_ROUTES: usize = 2_000;
const SLOW_LINK_RATE: usize = 500_000;
/// Maximum time from an invalid configuration to the next valid one, in ms.
const MAX_INVALID_MS: u64 = 600;

impl Soak {
    /// Starts the clients that probe each front, and the changes that they are to find in force.
    pub(super) fn start_changes(&mut self, seed: u64) {
        self.change_rng = Some(Pcg64Mcg::seed_from_u64(seed ^ CHANGE_SEED));
        self.changes.record_version(self.version);
        self.changes.record_disturbance(None, Duration::ZERO);
        self.pool.version.set(self.version);
        for (worker, service) in self.changing_workers() {
            let id = self.fleet.workers[worker].id().to_owned();
            self.pool.services.borrow_mut().insert(id, service);
        }
        for front in 0..self.fleet.fronts.len() {
            let seed = seed ^ PROBING_CLIENT_SEED ^ ((front as u64) << 32);
            actix_rt::spawn(run_probing_client(Rc::clone(&self.pool), front, seed));
        }
    }

    /// The plain workers, with their services.
    fn changing_workers(&self) -> Vec<(usize, &'static str)> {
        let service = |worker: usize| {
            let name = self.records[worker]["service"].as_str()?;
            SERVICES.into_iter().find(|it| *it == name).map(|it| (worker, it))
        };
        (0..self.records.len()).filter_map(service).collect()
    }

    /// Changes the configuration or a worker in some of the steps, and disturbs the store now and then.
    pub(super) fn inject_changes(&mut self) -> Result<(), SoakError> {
        let workers: Vec<_> = self.changing_workers().into_iter().map(|it| it.0).collect();
        let Some(rng) = &mut self.change_rng else { return Ok(()) };
        let change = (rng.random_range(0..CHANGE_INTERVAL) == 0)
            .then(|| Fault::random_change(rng, &workers));
        let series =
            if rng.random_range(0..CHANGE_SERIES_INTERVAL) == 0 { CHANGE_SERIES } else { 0 };
        let now = Instant::now();
        for _ in 0..series {
            let at = now + Duration::from_millis(rng.random_range(0..CHANGE_SERIES_MS));
            self.cleanups.push((at, FaultCleanup::Follow(Fault::Configure)));
        }
        let store_fault = (now >= self.next_store_fault).then(|| {
            let pause = rng.random_range(STORE_FAULT_INTERVAL_MS);
            self.next_store_fault = now + Duration::from_millis(pause);
            Fault::random_of_store(rng)
        });
        change.into_iter().chain(store_fault).try_for_each(|it| self.inject(it))
    }

    /// Takes a worker away, unless it is away already or few workers of its service are left. Returns whether it was taken.
    pub(super) fn take_away(&mut self, worker: usize) -> bool {
        if self.change_rng.is_none() {
            return true;
        }
        let service = &self.records[worker]["service"];
        let present = self.changing_workers().into_iter();
        let present = present.filter(|it| it.1 == service && !self.changes.is_away(it.0)).count();
        (service == "lm" || present > WORKERS_PER_SERVICE / 2)
            && self.changes.record_departure(worker)
    }

    /// Connects every other front to the store by a slow link, and makes the configurations large from here on.
    pub(super) fn slow_links_down(&mut self) {
        self.unused_routes = UNUSED_ROUTES;
        for front in self.fleet.fronts.iter().step_by(2) {
            front.store_listener.set_rate(Some(SLOW_LINK_RATE));
        }
    }

    /// Writes a configuration. An invalid one has a route of a kind that doesn't exist, and a valid one follows it.
    pub(super) fn configure(&mut self, valid: bool) {
        self.version += 1;
        let Some(rng) = &mut self.change_rng else {
            return self.fleet.configure(self.version, &json!([]));
        };
        let mut extra = routes(self.version);
        if !valid {
            extra[0]["kind"] = json!("unheard-of");
            let at = Instant::now() + Duration::from_millis(rng.random_range(50..MAX_INVALID_MS));
            self.cleanups.push((at, FaultCleanup::Follow(Fault::Configure)));
        }
        if let Some(routes) = extra.as_array_mut() {
            routes.extend(unused_routes(self.unused_routes));
        }
        self.fleet.configure(self.version, &extra);
        if valid {
            self.changes.record_version(self.version);
        }
        self.pool.version.set(self.version);
    }

    /// Checks that the changes were in force in time.
    pub(super) fn check_changes(&self, report: &mut Report) {
        let received = |worker: &Worker| {
            worker.with_seen(|seen| seen.requests.iter().map(|it| (it.at, it.id.clone())).collect())
        };
        let received: Vec<_> = self.fleet.workers.iter().map(received).collect();
        let (violations, checked) = self.changes.check(&self.pool.probes.borrow(), &received);
        report.violations.extend(violations);
        report.changes = Some(checked);
    }
}
