//! Runs one seed of streams: starts fronts, worker processes and clients, and disrupts them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{
    Departure, Fleet, FrontProcess, HOST, SENT_PREFIX, STOPPED_PREFIX, StandinError, StoppedStream,
    TRUNCATED_PREFIX, WorkerKind, WorkerManners, WorkerProcess,
};
use daisychute_standin::harness::{ANY_PORT, Program};
use daisychute_standin::relay::Relay;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use super::check::Counts;
use super::clients::{RESUMABLE, SINGLE, StreamPool, run_client};
use super::deadlines::{DEADLINES_MS, Deadlines};
use super::departures::{DepartureCounts, Departures};
use super::disruption::Disruption;
use super::ends::{Ends, WorkerEnd};
use super::rough::{self, Rough, RoughCounts};
use crate::checks::Violation;
use crate::report::Report;
use crate::run::SoakError;
use crate::run_options::RunOptions;

/// Number of worker processes.
const WORKERS: usize = 6;
/// Number of workers that fronts reach through a relay, which can reset their connections.
const RELAYED_WORKERS: usize = 2;
/// Minimum number of workers that are neither draining nor gone.
const MIN_WORKERS: usize = 3;
/// Number of clients.
const CLIENTS: u64 = 36;
/// Range of the pause between two disruptions, in ms.
const PAUSE_MS: std::ops::Range<u64> = 50..600;
/// Pause between the replacements of two workers for a release.
const RELEASE_PAUSE: Duration = Duration::from_millis(400);
/// Pause between two checks whether a front has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two checks whether a worker has ended that was told to stop.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which workers serve once the store has accepted that they drain, by the bounds of the platform. Within it, nothing
/// would tell the end of a stream by a last chunk from the end of its work.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time limit for a worker to end.
const END_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of log lines kept of fronts that have ended, the latest ones.
const MAX_ENDED_LOG_LINES: usize = 200_000;

/// A place in the fleet, which one worker after the other takes.
struct Place {
    worker: WorkerProcess,
    /// Resets the connections of a worker that it is in front of when the worker ends.
    relay: Option<Relay>,
    /// Whether the worker is draining or gone.
    is_leaving: bool,
    departure: Departure,
    /// Whether it ends the streams that it cancels by a last chunk.
    last_chunks: bool,
    /// Number of slots in its record; `None` for the usual one.
    slots: Option<u32>,
    /// When the worker was told to stop, of one that doesn't end at once.
    stopped_at: Option<Instant>,
}

/// The fleet of one seed.
struct StreamSoak {
    fleet: Fleet,
    places: Vec<Place>,
    pool: Rc<StreamPool>,
    rng: Pcg64Mcg,
    /// What is to happen, with its time.
    due: Vec<(Instant, Disruption)>,
    /// Number of workers started so far, from which their ids are derived.
    starts: u32,
    /// Software version of the workers that are started.
    version: u32,
    ends: Ends,
    /// Chooses how workers leave; `None` if all of them end at once.
    departures: Option<Departures>,
    departed: DepartureCounts,
    /// Chooses what happens in rough conditions; `None` without them.
    rough: Option<Rough>,
    /// Chooses how workers stop at deadlines; `None` if they don't.
    deadlines: Option<Deadlines>,
    ended_logs: Vec<String>,
    disruptions: usize,
}

/// Runs one seed.
pub(crate) async fn run(seed: u64, options: RunOptions) -> Result<Report, SoakError> {
    let mut soak = StreamSoak::start(seed, options).await?;
    let clients = if options.rough { rough::CLIENTS } else { CLIENTS };
    let clients: Vec<_> = (0..clients)
        .map(|number| {
            let pool = Rc::clone(&soak.pool);
            let seed = seed ^ ((number + 1) << 32);
            actix_rt::spawn(run_client(pool, number % 2 == 0, options, seed))
        })
        .collect();
    let end = Instant::now() + Duration::from_secs_f64(options.minutes * 60.0);
    while Instant::now() < end {
        let pause = Duration::from_millis(soak.rng.random_range(PAUSE_MS));
        soak.run_due_until(Instant::now() + pause).await?;
        let disruption = Disruption::random(&mut soak.rng, WORKERS, options.fronts);
        soak.disruptions += 1;
        soak.disrupt(disruption).await?;
        let departures = soak.departures.as_mut();
        let more = departures.map(|it| it.next_disruptions(WORKERS, options.fronts));
        let rough = soak.rough.as_mut();
        let rough = rough.map(|it| it.next_disruptions(WORKERS, options.fronts));
        for (delay, disruption) in more.into_iter().chain(rough).flatten() {
            soak.schedule(delay, disruption);
        }
    }
    while let Some(last) = soak.due.iter().map(|it| it.0).max() {
        soak.run_due_until(last).await?;
    }
    soak.pool.stopping.set(true);
    for client in clients {
        let _ = client.await;
    }
    Ok(soak.report())
}

impl StreamSoak {
    async fn start(seed: u64, options: RunOptions) -> Result<Self, SoakError> {
        let mut fleet = Fleet::without_fronts().await?;
        if options.rough {
            fleet.set_engine_slots(rough::SLOTS);
        }
        for worker in fleet.workers.iter().filter(|it| it.kind() != WorkerKind::Plain) {
            fleet.store.delete("servers", worker.id());
        }
        // Rough conditions are about streams in flight, and not about load that is refused.
        let goal_ms = if options.rough { 8_000 } else { 800 };
        let timeouts_ms = if options.deadlines { DEADLINES_MS } else { (8_000, 8_000) };
        let route = |path: &str, resumable: bool| {
            let timeout_ms = if resumable { timeouts_ms.0 } else { timeouts_ms.1 };
            json!({
                "name": path.trim_matches('/'), "host": HOST, "path_prefix": path, "kind": "streaming",
                "timeout_ms": timeout_ms, "latency_goal_ms": timeout_ms.min(goal_ms), "gap_aim_ms": 400, "priority": 1,
                "service": "lm", "max_attempts": 2, "resumable": resumable, "sticky": true,
            })
        };
        fleet.configure(1, &json!([route(RESUMABLE, true), route(SINGLE, false)]));
        let mut soak = Self {
            fleet,
            places: Vec::new(),
            pool: Rc::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            due: Vec::new(),
            starts: 0,
            version: 1,
            ends: Ends::default(),
            departures: options.departures.then(|| Departures::new(seed)),
            departed: DepartureCounts::default(),
            rough: options.rough.then(|| Rough::new(seed)),
            deadlines: options.deadlines.then(|| Deadlines::new(seed)),
            ended_logs: Vec::new(),
            disruptions: 0,
        };
        for number in 0..WORKERS {
            let place = soak.start_worker(ANY_PORT, number < RELAYED_WORKERS).await?;
            soak.places.push(place);
        }
        for _ in 0..options.fronts {
            soak.fleet.add_front().await?;
        }
        for front in &soak.fleet.fronts {
            front.wait_ready(true).await?;
        }
        soak.publish_fronts();
        Ok(soak)
    }

    /// Starts a worker and registers it.
    async fn start_worker(
        &mut self,
        address: SocketAddr,
        is_relayed: bool,
    ) -> Result<Place, SoakError> {
        self.starts += 1;
        let (id, version) = (worker_id(self.starts), format!("v{}", self.version));
        // A relay would accept connections for a worker that has just ended by itself.
        let departures = self.departures.as_mut().filter(|_| !is_relayed);
        let manners = departures.map_or(WorkerManners::AT_ONCE, Departures::next_manners);
        let lapses = self.rough.as_mut().map(Rough::next_lapses);
        let deadlines = self.deadlines.as_mut().map(Deadlines::next_worker);
        // Other streams hardly outlive the drain time. Without deadlines, seeds stay as they were.
        let last_chunks = manners.last_chunks && deadlines.is_some();
        let manners = WorkerManners { lapses, deadlines, last_chunks, ..manners };
        let program = Program::built("daisychute-soak").map_err(StandinError::from)?;
        let program = program.arg("worker").args(worker_args(manners));
        let worker = WorkerProcess::start(program, &id, &version, address).await?;
        let relay = match is_relayed {
            true => Some(Relay::start(ANY_PORT, worker.address(), ANY_PORT).await?),
            false => None,
        };
        let WorkerManners { departure, one_response, last_chunks, .. } = manners;
        self.ends.one_response.extend(one_response.then(|| id.clone()));
        let slots = self.rough.as_ref().map(|_| rough::SLOTS);
        let (is_leaving, stopped_at) = (false, None);
        let place = Place { worker, relay, is_leaving, departure, last_chunks, slots, stopped_at };
        self.fleet.store.put("servers", &id, place.record("ready"));
        Ok(place)
    }

    /// Gives the clients the current addresses of the fronts.
    fn publish_fronts(&self) {
        let addresses = self.fleet.fronts.iter().map(FrontProcess::client_address);
        *self.pool.fronts.borrow_mut() = addresses.collect();
    }

    /// Waits until this time, and does what is due before.
    async fn run_due_until(&mut self, until: Instant) -> Result<(), SoakError> {
        loop {
            self.due.sort_by_key(|it| it.0);
            if self.due.first().is_none_or(|it| it.0 > until) {
                break;
            }
            let (at, disruption) = self.due.remove(0);
            sleep_until(at).await;
            self.disrupt(disruption).await?;
        }
        sleep_until(until).await;
        Ok(())
    }

    fn schedule(&mut self, delay: Duration, disruption: Disruption) {
        self.due.push((Instant::now() + delay, disruption));
    }

    async fn disrupt(&mut self, disruption: Disruption) -> Result<(), SoakError> {
        match disruption {
            Disruption::KillWorker(worker, span) => {
                if self.take_away(worker) {
                    self.end_worker(worker, true).await?;
                    self.schedule(span, Disruption::ReplaceWorker(worker));
                }
            }
            Disruption::DrainWorker(worker, span) => {
                if self.take_away(worker) {
                    self.drain(worker, span);
                }
            }
            Disruption::StopWorker(worker) => {
                if self.take_away(worker) {
                    if self.places[worker].last_chunks {
                        self.drain(worker, Duration::ZERO);
                    } else {
                        self.replace(worker).await?;
                    }
                }
            }
            Disruption::SuspendFront(front, span) => {
                self.departed.suspended_fronts += 1;
                let _ = self.fleet.fronts[front].process.pause();
                self.schedule(span, Disruption::ResumeFront(front));
            }
            // A front that was restarted meanwhile isn't suspended, which makes no difference.
            Disruption::ResumeFront(front) => {
                let _ = self.fleet.fronts[front].process.resume();
            }
            Disruption::PauseWorker(worker, span) => {
                if !self.places[worker].is_leaving {
                    let _ = self.places[worker].worker.process.pause();
                    self.schedule(span, Disruption::ResumeWorker(worker));
                }
            }
            // A worker that was replaced meanwhile isn't suspended, which makes no difference.
            Disruption::ResumeWorker(worker) => {
                let _ = self.places[worker].worker.process.resume();
            }
            Disruption::Cut(worker) => {
                if let Some(relay) = &self.places[worker % RELAYED_WORKERS].relay {
                    relay.cut();
                }
            }
            Disruption::Release => {
                self.version += 1;
                for worker in 0..WORKERS {
                    let delay = RELEASE_PAUSE * worker as u32;
                    let span = Duration::from_millis(self.rng.random_range(100..600));
                    self.schedule(delay, Disruption::DrainWorker(worker, span));
                }
            }
            Disruption::ReplaceWorker(worker) => self.replace(worker).await?,
            Disruption::StopFront(front) => {
                self.note_end_of_front(front);
                let _ = self.fleet.fronts[front].process.terminate();
                self.schedule(POLL_INTERVAL, Disruption::RestartFront(front));
            }
            Disruption::KillFront(front) => {
                self.note_end_of_front(front);
                let _ = self.fleet.fronts[front].process.kill();
                self.schedule(POLL_INTERVAL, Disruption::RestartFront(front));
            }
            Disruption::RestartFront(front) => self.restart_front(front).await?,
        }
        Ok(())
    }

    /// Marks a worker as leaving. Returns false if it is already, or too few others would remain.
    fn take_away(&mut self, worker: usize) -> bool {
        let remaining = self.places.iter().filter(|it| !it.is_leaving).count();
        let may_leave = !self.places[worker].is_leaving && remaining > MIN_WORKERS;
        self.places[worker].is_leaving |= may_leave;
        may_leave
    }

    /// Lets a worker report that it drains, and tells it to stop after this time, or after the bound if that matters.
    fn drain(&mut self, worker: usize, span: Duration) {
        let place = &self.places[worker];
        self.fleet.store.put("servers", place.worker.id(), place.record("draining"));
        let span = if place.last_chunks { DRAIN_TIME + span } else { span };
        self.schedule(span, Disruption::ReplaceWorker(worker));
    }

    fn note_end_of_front(&mut self, front: usize) {
        let address = self.fleet.fronts[front].client_address();
        self.ends.fronts.push((address, Instant::now()));
    }

    /// Tells a worker to stop that doesn't end at once, if it wasn't yet. Returns whether it still runs.
    fn is_stopping(&mut self, worker: usize) -> Result<bool, SoakError> {
        let place = &mut self.places[worker];
        let process = &mut place.worker.process;
        let has_ended = process.exit_status().map_err(StandinError::from)?.is_some();
        if has_ended || place.departure == Departure::AtOnce {
            return Ok(false);
        }
        let Some(stopped_at) = place.stopped_at else {
            place.stopped_at = Some(Instant::now());
            self.ends.workers.push(place.end());
            *self.departed.workers.entry(place.departure).or_default() += 1;
            let process = &mut place.worker.process;
            process.terminate().map_err(StandinError::from)?;
            // A suspended process is told once it is resumed.
            let _ = process.resume();
            return Ok(true);
        };
        if stopped_at.elapsed() > END_TIMEOUT {
            return Err(StandinError::Timeout("a worker to end").into());
        }
        Ok(true)
    }

    /// Notes which streams a worker that has ended sent to their end.
    fn note_sent(&mut self, worker: usize) {
        let lines = self.places[worker].worker.process.stdout();
        let sent = lines.iter().filter_map(|it| it.strip_prefix(SENT_PREFIX));
        self.ends.sent.extend(sent.map(str::to_owned));
        let truncated = lines.iter().filter_map(|it| it.strip_prefix(TRUNCATED_PREFIX));
        let truncated = truncated.filter_map(|it| it.split_once(' '));
        let truncated = truncated.filter_map(|it| Some((it.0.to_owned(), it.1.parse().ok()?)));
        self.ends.truncated.extend(truncated);
        let stopped = lines.iter().filter_map(|it| it.strip_prefix(STOPPED_PREFIX));
        for stopped in stopped.filter_map(|it| it.parse::<StoppedStream>().ok()) {
            self.ends.stopped.entry(stopped.id.clone()).or_default().push(stopped);
        }
    }

    /// Ends a worker with the streams that it still has, if it hasn't ended.
    async fn end_worker(&mut self, worker: usize, kill: bool) -> Result<(), SoakError> {
        let place = &mut self.places[worker];
        let process = &mut place.worker.process;
        if process.exit_status().map_err(StandinError::from)?.is_some() {
            return Ok(());
        }
        self.ends.workers.push(WorkerEnd { departure: Departure::AtOnce, ..place.end() });
        // A relay would accept connections for a worker that has ended.
        place.relay = None;
        let process = &mut place.worker.process;
        if kill {
            process.kill().map_err(StandinError::from)?;
        } else {
            process.terminate().map_err(StandinError::from)?;
            // A suspended process ends once it is resumed.
            let _ = process.resume();
        }
        process.wait_exit(END_TIMEOUT).await.map_err(StandinError::from)?;
        Ok(())
    }

    /// Replaces a worker by a new one, half of the time at the same address. One that takes a while to end is replaced then.
    async fn replace(&mut self, worker: usize) -> Result<(), SoakError> {
        if self.is_stopping(worker)? {
            self.schedule(END_POLL_INTERVAL, Disruption::ReplaceWorker(worker));
            return Ok(());
        }
        self.end_worker(worker, false).await?;
        let process = &mut self.places[worker].worker.process;
        // Its last lines may still be read.
        process.wait_exit(END_TIMEOUT).await.map_err(StandinError::from)?;
        self.note_sent(worker);
        let old = &self.places[worker];
        let takes_over = self.rng.random_range(0..2) == 0;
        let address = if takes_over { old.worker.address() } else { ANY_PORT };
        self.fleet.store.delete("servers", old.worker.id());
        let successor = takes_over.then(|| worker_id(self.starts + 1));
        self.ends.note_gone(old.worker.id(), successor.as_deref());
        self.places[worker] = self.start_worker(address, worker < RELAYED_WORKERS).await?;
        Ok(())
    }

    /// Restarts a front if it has ended, and checks again later otherwise.
    async fn restart_front(&mut self, number: usize) -> Result<(), SoakError> {
        // Several disruptions of one front lead to one restart.
        self.due.retain(|it| !matches!(it.1, Disruption::RestartFront(front) if front == number));
        let front = &mut self.fleet.fronts[number];
        if front.process.exit_status().map_err(StandinError::from)?.is_none() {
            self.schedule(POLL_INTERVAL, Disruption::RestartFront(number));
            return Ok(());
        }
        self.ended_logs.extend(front.process.stdout());
        let excess = self.ended_logs.len().saturating_sub(MAX_ENDED_LOG_LINES);
        self.ended_logs.drain(..excess);
        front.restart().await?;
        self.publish_fronts();
        Ok(())
    }

    fn report(&mut self) -> Report {
        for worker in 0..WORKERS {
            self.note_sent(worker);
        }
        let (mut counts, violations) = Counts::check(&self.pool.streams.borrow(), &self.ends);
        counts.departures = self.departures.is_some().then(|| std::mem::take(&mut self.departed));
        counts.rough = self.rough.take().map(|it| RoughCounts {
            moved_clients: self.pool.moved.get(),
            truncated: self.ends.truncated.len(),
            ..it.counts
        });
        counts.has_deadlines = self.deadlines.is_some();
        let mut report = Report { faults: self.disruptions, ..Report::default() };
        for (violation, ids) in violations {
            report.violations.push(violation);
            let running = self.fleet.fronts.iter().flat_map(|it| it.process.stdout());
            let lines = self.ended_logs.iter().cloned().chain(running);
            let concerns = |it: &String| ids.iter().any(|id| it.contains(id.as_str()));
            report.log_lines.extend(lines.filter(concerns));
        }
        for missing in counts.missing_cases() {
            report.violations.push(Violation::new(format!("too few cases: {missing}")));
        }
        if !report.violations.is_empty() {
            report.front_logs = self.fleet.fronts.iter().map(|it| it.process.stdout()).collect();
        }
        report.streams = Some(counts);
        report
    }
}

/// Id of the worker that is started as this one in a row.
fn worker_id(start: u32) -> String {
    format!("p-{start}")
}

/// Arguments that make a worker process behave like this.
fn worker_args(manners: WorkerManners) -> Vec<String> {
    let WorkerManners { departure, end_delay, one_response, lapses, deadlines, last_chunks } =
        manners;
    let mut args = vec![
        format!("--departure={departure}"),
        format!("--end-delay-ms={}", end_delay.as_millis()),
    ];
    args.extend(one_response.then(|| "--one-response".to_owned()));
    args.extend(lapses.map(|seed| format!("--lapses={seed}")));
    args.extend(deadlines.map(|seed| format!("--deadlines={seed}")));
    args.extend(last_chunks.then(|| "--last-chunks".to_owned()));
    args
}

impl Place {
    /// The end of the worker, if it is told to end now.
    fn end(&self) -> WorkerEnd {
        let id = self.worker.id().to_owned();
        let (at, departure) = (Instant::now(), self.departure);
        WorkerEnd { id, at, departure, gone_at: None, successor: None }
    }

    /// Record of the worker in the store, with this state.
    fn record(&self, state: &str) -> serde_json::Value {
        let address = self.relay.as_ref().map_or(self.worker.address(), Relay::local_addr);
        let mut record = self.worker.record(address, state);
        if let Some(slots) = self.slots {
            record["slots"] = json!(slots);
        }
        record
    }
}
