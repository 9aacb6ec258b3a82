//! Runs one seed: starts fronts, workers and clients, injects faults, and reports the violations.

mod changing;
mod cleanups;
mod cutting;
mod finish;
mod foreign;

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{
    Act, ControlApi, Fleet, FrontProcess, FrontRelays, StandinError, StoreCopy, StoreListener,
    Worker, WorkerKind,
};
use daisychute_standin::StandinError as RelayError;
use daisychute_standin::harness::{HarnessError, Process};
use daisychute_standin::relay::{Mode, Relay};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::time::Instant;

use crate::changes::{Changes, SERVICES, routes};
use crate::checks::Violation;
use crate::clients::{
    CRASHING, ClientPool, POISON, run_client, run_crashing_client, run_poisoning_client,
    run_resuming_client, run_stream_client,
};
use crate::cuts::Cut;
use crate::duties;
use crate::faults::Fault;
use crate::limits::LimitPeriod;
use crate::poison::PoisonKind;
use crate::report::Report;
use crate::run::changing::{CHANGE_SETTINGS, FRONTS_OF_DENSE_FAULTS, WORKERS_PER_SERVICE};
use crate::run::cleanups::{FaultCleanup, POLL_INTERVAL};
use crate::run::cutting::{Cutting, ROUTE_TIMEOUT};
use crate::run::foreign::ForeignEntries;
use crate::run_options::RunOptions;

/// Number of simulated clients.
const CLIENTS: u64 = 12;
/// Number of simulated clients with long streams.
const STREAM_CLIENTS: u64 = 6;
/// Number of simulated clients that resume broken streams.
const RESUMING_CLIENTS: u64 = 6;
/// Number of them beside cuts, during each of which some streams are to be resumed at its front.
const RESUMING_CLIENTS_BESIDE_CUTS: u64 = 18;
/// Number of simulated clients of prompts that may end workers.
const POISONING_CLIENTS: u64 = 6;
/// Offsets from the seed of a run to those of its further generators.
const STREAM_CLIENT_SEED: u64 = 1 << 62;
const RESUMING_CLIENT_SEED: u64 = 1 << 60;
const POISONING_CLIENT_SEED: u64 = 1 << 59;
const LIMIT_SEED: u64 = 1 << 58;
const SERIES_SEED: u64 = 1 << 63;
const RESTORE_SEED: u64 = 1 << 61;
/// One step in this many also restores the store.
const RESTORE_INTERVAL: u32 = 8;
/// Maximum age of the copy that it is restored from, in ms.
const MAX_RESTORE_AGE_MS: u64 = 9_000;
/// How long copies of the store are kept.
const COPY_AGE: Duration = Duration::from_secs(10);
/// Maximum time after a return of the store until what the operator and the workers wrote is there again, in ms.
const MAX_REWRITE_DELAY_MS: u64 = 1_500;
/// Minimum time between two returns of the store in runs with usage reports, so that there are reports in between.
const RETURN_INTERVAL_BESIDE_DUTIES: Duration = Duration::from_secs(14);
/// One in this many steps has a fault in runs with usage reports.
const FAULT_INTERVAL_BESIDE_DUTIES: usize = 8;
/// Maximum time until another front than the holder is restarted beside a return of the store, in ms: it may succeed the
/// holder before.
const MAX_OTHER_RESTART_DELAY_MS: u64 = 10_000;
/// Maximum time until the holder is restarted beside a return of the store, in ms.
const MAX_RESTART_DELAY_MS: u64 = 2_500;
/// Maximum time until the store returns to the time around these restarts, in ms: longer than a shutdown takes.
const MAX_RETURN_DELAY_MS: u64 = 5_000;
/// Maximum time for which the start of a former holder waits for a report of its successor.
const MAX_SUCCESSION_TIME: Duration = Duration::from_secs(10);
/// Minimum length of a run that must have reports before and after a return of the store, in minutes.
const MIN_MINUTES_OF_REPORTS: f64 = 0.5;
/// Maximum number of further signals and configurations after a planned stop or reload.
const MAX_SERIES: u32 = 3;
/// Maximum time from a planned stop or reload to each of them, in ms: longer than a shutdown takes.
const MAX_SERIES_DELAY_MS: u64 = 9_000;
/// An unplanned fault may disturb requests until this long after its end.
const RECOVERY_PERIOD: Duration = Duration::from_millis(3_500);
/// One in this many steps has a worker announce something.
const NOTICE_INTERVAL: u32 = 2;
/// One in this many steps has a worker name a limit.
const LIMIT_INTERVAL: u32 = 6;

/// Why a seed couldn't be run to its end.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SoakError {
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error(transparent)]
    Relay(#[from] RelayError),
    #[error("can't handle signals: {0}")]
    Signal(std::io::Error),
    #[error("ended by a signal")]
    Ended,
}

/// The running fleet of one seed, with its clients and active faults.
struct Soak {
    fleet: Fleet,
    /// The relay in front of each worker, which disturbs its connections.
    relays: Vec<Relay>,
    pool: Rc<ClientPool>,
    /// Start and end of each period in which requests may fail.
    disturbances: Vec<(Instant, Instant)>,
    /// Pending cleanups, with the time at which each is due.
    cleanups: Vec<(Instant, FaultCleanup)>,
    /// For each front, whether it was stopped or killed and isn't restarted yet.
    restart_pending: Vec<bool>,
    /// The version of the current configuration.
    version: u64,
    /// Number of unused routes in each configuration.
    unused_routes: usize,
    /// Number of faults injected so far.
    faults: usize,
    /// Chooses the signals and configurations that follow a planned stop or reload; `None` if none do. It is a generator
    /// of its own, so that the other faults of a seed stay as they are.
    series: Option<Pcg64Mcg>,
    /// Chooses the returns of the store from a copy; `None` without any. A generator of its own, like `series`.
    restores: Option<Pcg64Mcg>,
    /// When the store is restored next at the earliest.
    next_return: Instant,
    /// The holder of the duty that is stopped or killed next, or was: the store is restored once more as it is started again,
    /// which waits until this time for a report of its successor.
    stopped_holder: Option<(usize, Instant)>,
    /// A copy of the store from after it released its lease.
    released: Option<StoreCopy>,
    /// The control API, to which the fronts report usage in runs with `--duties`.
    control_api: Option<ControlApi>,
    /// Copies of the store with the times at which they were taken, oldest first.
    copies: VecDeque<(Instant, StoreCopy)>,
    /// Latest record of each worker.
    records: Vec<serde_json::Value>,
    /// Log lines of the fronts that have ended.
    ended_logs: Vec<String>,
    /// Workers that have ended and will be started again.
    starting: BTreeSet<usize>,
    /// Number of times that a worker was registered as newly started. Its record has it as the time of that start, so that
    /// no two starts are the same.
    worker_starts: u64,
    /// Times in which workers named limits.
    limit_periods: Vec<LimitPeriod>,
    /// What was changed, and when which front was disturbed.
    changes: Changes,
    /// Chooses changes of routes and workers, and disruptions of the store; `None` without any. A generator of its own,
    /// like `series`.
    change_rng: Option<Pcg64Mcg>,
    /// When the store as a whole is disturbed next.
    next_store_fault: Instant,
    /// Entries of another writer; `None` without any. They have a generator of their own, like `series`.
    foreign: Option<ForeignEntries>,
    /// Cuts of fronts from others; `None` without any.
    cutting: Option<Cutting>,
    /// Workers of old software versions, which never get a record again.
    retired: BTreeSet<usize>,
}

/// Runs one seed.
pub(crate) async fn run(seed: u64, options: RunOptions) -> Result<Report, SoakError> {
    let RunOptions { minutes, fronts, planned_only, notices, versions, restores, limits, .. } =
        options;
    let poison_kind = options.poison_kind();
    let mut limit_rng = Pcg64Mcg::seed_from_u64(seed ^ LIMIT_SEED);
    let mut soak = Soak::start(seed, options).await?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut notice_rng = Pcg64Mcg::seed_from_u64(!seed);
    if options.slow_links {
        soak.slow_links_down();
    }
    soak.series = planned_only.then(|| Pcg64Mcg::seed_from_u64(seed ^ SERIES_SEED));
    soak.restores = restores.then(|| Pcg64Mcg::seed_from_u64(seed ^ RESTORE_SEED));
    for number in 0..CLIENTS {
        actix_rt::spawn(run_client(Rc::clone(&soak.pool), seed ^ (number << 32)));
    }
    for number in 0..STREAM_CLIENTS {
        let seed = seed ^ STREAM_CLIENT_SEED ^ (number << 32);
        actix_rt::spawn(run_stream_client(Rc::clone(&soak.pool), seed));
    }
    let resuming_clients = match (versions, options.cuts) {
        (_, true) => RESUMING_CLIENTS_BESIDE_CUTS,
        (true, false) => RESUMING_CLIENTS,
        (false, false) => 0,
    };
    for number in 0..resuming_clients {
        let seed = seed ^ RESUMING_CLIENT_SEED ^ (number << 32);
        actix_rt::spawn(run_resuming_client(Rc::clone(&soak.pool), seed));
    }
    if let Some(kind) = poison_kind {
        soak.start_poisoning(kind, seed);
    }
    if options.changes {
        soak.start_changes(seed);
    }
    if options.foreign_entries {
        soak.start_foreign_entries(seed);
    }
    let mut step = 0;
    let end = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    while Instant::now() < end {
        let pause = Duration::from_millis(rng.random_range(50..600));
        soak.run_cleanups_until(Instant::now() + pause).await?;
        soak.schedule_starts_of_ended_workers();
        soak.schedule_cuts();
        let mut fault = Fault::random(&mut rng, fronts, soak.relays.len());
        while planned_only && !fault.is_planned() {
            fault = Fault::random(&mut rng, fronts, soak.relays.len());
        }
        step += 1;
        let interval = match (options.changes, options.duties) {
            (true, _) => (FRONTS_OF_DENSE_FAULTS / fronts).max(1),
            (false, true) => FAULT_INTERVAL_BESIDE_DUTIES,
            (false, false) => 1,
        };
        if step % interval == 0 {
            soak.schedule_series(&fault);
            soak.inject(fault)?;
        }
        // Other generators keep the other faults of a seed the same with and without notices and restores.
        if notices && notice_rng.random_range(0..NOTICE_INTERVAL) == 0 {
            soak.inject(Fault::random_notice(&mut notice_rng, soak.relays.len()))?;
        }
        if limits && limit_rng.random_range(0..LIMIT_INTERVAL) == 0 {
            soak.inject(Fault::random_limit(&mut limit_rng, soak.relays.len()))?;
        }
        soak.inject_restore()?;
        soak.inject_changes()?;
        // Kills of all fronts would leave changes few fronts that have to heed them.
        soak.inject_foreign_entry(!planned_only && !options.changes)?;
    }
    let mut report = soak.finish(poison_kind).await?;
    if limits && !report.limited.has_cases() {
        let text = "too few cases of limits: no window was checked".to_owned();
        report.violations.push(Violation::new(text));
    }
    // Cuts and their aftermath leave hardly a time without unplanned faults.
    if versions && !options.cuts && !report.resumed.has_cases() {
        let text = "too few cases of versions: no resumed stream was checked".to_owned();
        report.violations.push(Violation::new(text));
    }
    if report.cuts.as_ref().is_some_and(|it| !it.has_cases()) {
        let text = "too few cases of cuts: no stream was resumed at a front that was cut off";
        report.violations.push(Violation::new(text.to_owned()));
    }
    if report.foreign_entries == Some(0) {
        let text = "too few cases of foreign entries: there was none".to_owned();
        report.violations.push(Violation::new(text));
    }
    if minutes >= MIN_MINUTES_OF_REPORTS && report.duties.is_some_and(|it| !it.has_cases()) {
        let text = "too few cases of usage reports: none before or after a return of the store";
        report.violations.push(Violation::new(text.to_owned()));
    }
    if report.changes.as_ref().is_some_and(|it| !it.has_cases()) {
        let text = "too few cases of changes: no bound was checked".to_owned();
        report.violations.push(Violation::new(text));
    }
    Ok(report)
}

impl Soak {
    async fn start(seed: u64, options: RunOptions) -> Result<Self, SoakError> {
        let RunOptions { fronts, versions, changes, cuts, .. } = options;
        let mut fleet = Fleet::without_fronts().await?;
        if changes {
            fleet.add_service(SERVICES[1]);
            fleet.configure(1, &routes(1));
            for service in SERVICES {
                for _ in 0..WORKERS_PER_SERVICE {
                    fleet.add_worker_of(service, WorkerKind::Plain).await?;
                }
            }
        }
        if versions {
            for _ in 0..2 {
                fleet.add_worker(WorkerKind::Decode).await?;
            }
            for (number, worker) in fleet.workers.iter().enumerate() {
                worker.set_version(["v1", "v2"][if cuts { 0 } else { number % 2 }]);
            }
        }
        let front_relays = FrontRelays::default();
        if cuts {
            fleet.set_timeout(ROUTE_TIMEOUT);
            fleet.configure(1, &json!([]));
            fleet.store.set_relays(front_relays.clone());
        }
        let (mut relays, mut records) = (Vec::new(), Vec::new());
        let any_port = ([127, 0, 0, 1], 0).into();
        for worker in &fleet.workers {
            let relay = Relay::start(any_port, worker.address(), any_port).await?;
            records.push(record(worker, &relay, "ready", None));
            fleet.store.put("servers", worker.id(), records[relays.len()].clone());
            relays.push(relay);
        }
        let control_api = if options.duties { Some(ControlApi::start().await?) } else { None };
        let mut settings = control_api.as_ref().map(duties::settings).unwrap_or_default();
        if changes {
            settings.push_str(CHANGE_SETTINGS);
        }
        for _ in 0..fronts {
            fleet.add_front_with(&settings).await?;
        }
        for front in &fleet.fronts {
            front.wait_ready(true).await?;
        }
        let pool = Rc::new(ClientPool::default());
        let (disturbances, cleanups, version, faults) = (Vec::new(), Vec::new(), 1, 0);
        let restart_pending = vec![false; fronts];
        let soak = Self {
            fleet,
            relays,
            pool,
            disturbances,
            cleanups,
            restart_pending,
            version,
            unused_routes: 0,
            faults,
            series: None,
            restores: None,
            next_return: Instant::now(),
            stopped_holder: None,
            released: None,
            control_api,
            copies: VecDeque::new(),
            records,
            ended_logs: Vec::new(),
            starting: BTreeSet::new(),
            worker_starts: 0,
            limit_periods: Vec::new(),
            changes: Changes::default(),
            change_rng: None,
            next_store_fault: Instant::now(),
            foreign: None,
            cutting: cuts.then(|| Cutting::new(seed, front_relays)),
            retired: BTreeSet::new(),
        };
        soak.publish_addresses();
        Ok(soak)
    }

    /// Gives the clients the current addresses of the fronts.
    fn publish_addresses(&self) {
        let addresses: Vec<_> =
            self.fleet.fronts.iter().map(FrontProcess::client_address).collect();
        let mut starts = self.pool.front_starts.borrow_mut();
        for (number, address) in addresses.iter().enumerate() {
            starts.entry(*address).or_insert_with(Instant::now);
            self.pool.front_numbers.borrow_mut().insert(*address, number);
        }
        *self.pool.front_addresses.borrow_mut() = addresses;
    }

    /// Schedules signals and configurations that overlap with a stop or reload.
    fn schedule_series(&mut self, fault: &Fault) {
        let (Some(rng), Fault::Stop(front) | Fault::Reload(front)) = (&mut self.series, fault)
        else {
            return;
        };
        for _ in 0..rng.random_range(0..=MAX_SERIES) {
            let at =
                Instant::now() + Duration::from_millis(rng.random_range(0..MAX_SERIES_DELAY_MS));
            let faults = [Fault::Stop(*front), Fault::Reload(*front), Fault::Configure];
            let next = faults[rng.random_range(0..faults.len())].clone();
            self.cleanups.push((at, FaultCleanup::Follow(next)));
        }
    }

    /// Takes a copy of the store, and restores an older one in some of the steps.
    fn inject_restore(&mut self) -> Result<(), SoakError> {
        let Some(rng) = &mut self.restores else { return Ok(()) };
        let is_due =
            rng.random_range(0..RESTORE_INTERVAL) == 0 && Instant::now() >= self.next_return;
        let age = Duration::from_millis(rng.random_range(0..MAX_RESTORE_AGE_MS));
        let now = Instant::now();
        self.copies.retain(|it| now.duration_since(it.0) < COPY_AGE);
        let copy = self.fleet.store.copy();
        if self.stopped_holder.is_some() {
            let lease = self.fleet.store.get("leases", "usage-report").unwrap_or_default();
            if lease["record"]["released_by"].is_string() {
                self.released = Some(copy.clone());
            }
        }
        self.copies.push_back((now, copy));
        if is_due && self.control_api.is_some() {
            self.next_return = now + RETURN_INTERVAL_BESIDE_DUTIES;
            self.schedule_restarts_around_return();
        }
        if is_due { self.inject(Fault::Restore(age)) } else { Ok(()) }
    }

    /// Schedules restarts of the front that reports usage and of another one, and further returns of the store to the time
    /// around them.
    fn schedule_restarts_around_return(&mut self) {
        let holder = self.control_api.as_ref().and_then(duties::holder);
        let (Some(rng), Some(holder)) = (&mut self.restores, holder) else { return };
        let now = Instant::now();
        let mut random_time = |ms| now + Duration::from_millis(rng.random_range(0..ms));
        let fronts = self.fleet.fronts.len();
        let faults: &[fn(usize) -> Fault] =
            if self.series.is_some() { &[Fault::Stop] } else { &[Fault::Stop, Fault::Kill] };
        let times = [random_time(MAX_RESTART_DELAY_MS), random_time(MAX_OTHER_RESTART_DELAY_MS)];
        let returns_at = random_time(MAX_RETURN_DELAY_MS);
        (self.stopped_holder, self.released) = (Some((holder, now + MAX_SUCCESSION_TIME)), None);
        let other = (holder + rng.random_range(1..fronts.max(2))) % fronts;
        for (front, at) in [holder, other].into_iter().zip(times) {
            let fault = faults[rng.random_range(0..faults.len())](front);
            self.cleanups.push((at, FaultCleanup::Follow(fault)));
        }
        let age = Duration::from_millis(rng.random_range(0..MAX_RETURN_DELAY_MS));
        self.cleanups.push((returns_at, FaultCleanup::Follow(Fault::Restore(age))));
    }

    /// Restores the store from the newest copy that is at least this old, or from the oldest one.
    fn restore_store(&mut self, age: Duration) {
        let now = Instant::now();
        let old = self.copies.iter().rev().find(|it| now.duration_since(it.0) >= age);
        let Some((_, copy)) = old.or_else(|| self.copies.front()) else { return };
        self.fleet.store.restore(copy);
        self.schedule_rewrite();
    }

    /// Whether the start of a former holder waits for a report of its successor.
    fn awaits_successor(&self, front: usize) -> bool {
        let is_stopped =
            self.stopped_holder.is_some_and(|(it, until)| it == front && Instant::now() < until);
        let holder = self.control_api.as_ref().and_then(duties::holder);
        is_stopped && self.released.is_some() && holder == Some(front)
    }

    /// Restores the store from the copy in which the lease is free, if this front is the holder that released it.
    fn restore_released_lease(&mut self, front: usize) {
        if self.stopped_holder.is_some_and(|it| it.0 == front)
            && let Some(copy) = self.released.take()
        {
            self.stopped_holder = None;
            self.fleet.store.restore(&copy);
            self.schedule_rewrite();
        }
    }

    /// Schedules that what the operator and the workers wrote is written again.
    fn schedule_rewrite(&mut self) {
        let now = Instant::now();
        let Some(rng) = &mut self.restores else { return };
        let delay = Duration::from_millis(rng.random_range(0..MAX_REWRITE_DELAY_MS));
        self.cleanups.push((now + delay, FaultCleanup::Rewrite));
    }

    fn inject(&mut self, fault: Fault) -> Result<(), SoakError> {
        self.faults += 1;
        let now = Instant::now();
        let mut until = now;
        let planned = fault.is_planned();
        match fault {
            Fault::Stop(front) => self.end_front(front, Process::terminate)?,
            Fault::Kill(front) => self.end_front(front, Process::kill)?,
            Fault::Pause(front, span) => {
                if self.is_running(front)? {
                    self.changes.record_disturbance(Some(front), span);
                    self.fleet.fronts[front].process.pause().map_err(StandinError::from)?;
                    until = now + span;
                    self.cleanups.push((until, FaultCleanup::Resume(front)));
                }
            }
            Fault::Reload(front) if self.is_running(front)? => self.reload(front)?,
            Fault::Reload(_) => {}
            Fault::Store(front, fault, span) => {
                self.changes.record_disturbance(Some(front), span);
                self.fleet.fronts[front].store_listener.set_fault(Some(fault));
                until = now + span;
                self.cleanups.push((until, FaultCleanup::RestoreStore(front)));
            }
            Fault::Compact => self.fleet.store.compact(),
            Fault::Worker(worker, act, count) => {
                for _ in 0..count {
                    self.fleet.workers[worker].script.push(act.clone());
                }
                until = now + Duration::from_secs(3);
            }
            Fault::Reset(worker) => self.relays[worker].cut(),
            Fault::Silence(worker) => self.relays[worker].silence(),
            Fault::Unreachable(worker, span) => {
                self.relays[worker].set_mode(Mode::Refuse);
                self.relays[worker].cut();
                until = now + span;
                self.cleanups.push((until, FaultCleanup::Reconnect(worker)));
            }
            Fault::Drain(worker, span) => {
                if self.take_away(worker) {
                    self.put_record(worker, "draining", None);
                    self.cleanups.push((now + span, FaultCleanup::Register(worker)));
                }
            }
            Fault::Remove(worker, span) => {
                if self.take_away(worker) {
                    self.fleet.store.delete("servers", self.fleet.workers[worker].id());
                    self.cleanups.push((now + span, FaultCleanup::Register(worker)));
                }
            }
            Fault::Leave(worker, span) => {
                self.fleet.workers[worker].set_leaving(true);
                self.cleanups.push((now + span, FaultCleanup::Register(worker)));
            }
            Fault::AskForPause(worker, seconds) => {
                self.fleet.workers[worker].script.push(Act::Pause(seconds));
            }
            Fault::Limit(worker, limit, span) => self.name_limit(worker, limit, span),
            Fault::Configure => self.configure(true),
            Fault::ConfigureInvalid => self.configure(false),
            Fault::StoreDown(fault, span) => {
                self.changes.record_disturbance(None, span);
                self.store_listeners().for_each(|it| it.set_fault(Some(fault)));
                until = now + span;
                self.cleanups.push((until, FaultCleanup::RestoreStoreOfAll));
            }
            Fault::LoseResponses => {
                self.changes.record_disturbance(None, Duration::ZERO);
                self.store_listeners().for_each(StoreListener::lose_pending_responses);
            }
            Fault::SilenceStore => {
                self.changes.record_disturbance(None, Duration::ZERO);
                self.store_listeners().for_each(StoreListener::silence_connections);
            }
            Fault::Restore(age) => self.restore_store(age),
            Fault::ForeignEntry(kind, name) => self.put_foreign_entry(kind, name),
            Fault::KillAll => {
                for front in 0..self.fleet.fronts.len() {
                    self.end_front(front, Process::kill)?;
                }
            }
            Fault::CutOff(front, others, from_store, span) => {
                until = now + span;
                let (begins_at, ends_at) = (now, until);
                self.begin_cut(Cut { front, others, from_store, begins_at, ends_at });
            }
        }
        if !planned {
            self.disturbances.push((now, until + RECOVERY_PERIOD));
        }
        Ok(())
    }

    /// The listeners of the store, one for each front.
    fn store_listeners(&self) -> impl Iterator<Item = &StoreListener> {
        self.fleet.fronts.iter().map(|it| &it.store_listener)
    }

    /// Lets a worker name a limit, unless it names one already.
    fn name_limit(&mut self, worker: usize, limit: f64, span: Duration) {
        let from = Instant::now();
        if self.limit_periods.iter().any(|it| it.worker == worker && from < it.to) {
            return;
        }
        let to = from + span;
        self.fleet.workers[worker].set_limit(Some(&limit.to_string()));
        self.limit_periods.push(LimitPeriod { worker, limit, from, to });
        self.cleanups.push((to, FaultCleanup::LiftLimit(worker)));
    }

    fn is_running(&mut self, front: usize) -> Result<bool, SoakError> {
        let status = self.fleet.fronts[front].process.exit_status();
        Ok(status.map_err(StandinError::from)?.is_none())
    }

    /// Sends a front a signal that ends it, and schedules its restart.
    fn end_front(
        &mut self,
        front: usize,
        signal: impl Fn(&mut Process) -> Result<(), HarnessError>,
    ) -> Result<(), SoakError> {
        if !self.is_running(front)? {
            return Ok(());
        }
        self.changes.record_disturbance(Some(front), Duration::ZERO);
        signal(&mut self.fleet.fronts[front].process).map_err(StandinError::from)?;
        if !std::mem::replace(&mut self.restart_pending[front], true) {
            self.cleanups.push((Instant::now() + POLL_INTERVAL, FaultCleanup::Restart(front)));
        }
        Ok(())
    }

    /// Sends a front a SIGHUP, on which it reloads its settings.
    fn reload(&self, front: usize) -> Result<(), SoakError> {
        let id = self.fleet.fronts[front].process.id().to_string();
        let result = std::process::Command::new("kill").args(["-HUP", &id]).status();
        result.map(|_| ()).map_err(|e| StandinError::from(e).into())
    }

    /// Writes the record of a worker to the store, with this state.
    fn put_record(&mut self, number: usize, state: &str, started_at: Option<u64>) {
        if self.retired.contains(&number) {
            return;
        }
        let (worker, relay) = (&self.fleet.workers[number], &self.relays[number]);
        self.records[number] = record(worker, relay, state, started_at);
        self.fleet.store.put("servers", worker.id(), self.records[number].clone());
    }

    /// Lets requests of this kind end workers, and starts the clients that send them beside others.
    fn start_poisoning(&self, kind: PoisonKind, seed: u64) {
        match kind {
            PoisonKind::Part => self.fleet.poison.set(Some(POISON)),
            PoisonKind::Request => self.fleet.poison.set_path(Some(CRASHING)),
        }
        for number in 0..POISONING_CLIENTS {
            let (pool, seed) =
                (Rc::clone(&self.pool), seed ^ POISONING_CLIENT_SEED ^ (number << 32));
            match kind {
                PoisonKind::Part => actix_rt::spawn(run_poisoning_client(pool, seed)),
                PoisonKind::Request => actix_rt::spawn(run_crashing_client(pool, seed)),
            };
        }
    }
}

/// The record of a worker that is reached through its relay.
fn record(
    worker: &Worker,
    relay: &Relay,
    state: &str,
    started_at: Option<u64>,
) -> serde_json::Value {
    let mut record = worker.record(state);
    record["address"] = json!(relay.local_addr().to_string());
    if let Some(started_at) = started_at {
        record["born"] = json!(started_at);
    }
    record
}
