//! One seed: fronts, workers, clients and faults, and what came of it.

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use daisychute_platform_standin::{Answer, Fleet, FrontProcess, Paths, StandinError, Worker};
use daisychute_standin::StandinError as RelayError;
use daisychute_standin::harness::{HarnessError, Process};
use daisychute_standin::relay::{Mode, Relay};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::checks::{Seen, Violation, check};
use crate::clients::{Crowd, client};
use crate::faults::Fault;

/// Clients at once.
const CLIENTS: u64 = 12;
/// An unplanned fault may break requests until so long after its end.
const AFTERMATH: Duration = Duration::from_millis(3_500);
/// All fronts are ready, and serve, within this time after the last fault.
const RECOVER: Duration = Duration::from_secs(12);
/// The pause between two looks at a process that ends.
const LOOK: Duration = Duration::from_millis(100);
/// Of the calls after that, so many must be answered.
const SERVED: usize = 20;

/// Why a seed can't be played.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SoakError {
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error(transparent)]
    Relay(#[from] RelayError),
}

/// What came of a seed.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) violations: Vec<Violation>,
    requests: usize,
    whole: usize,
    faults: usize,
    statuses: BTreeMap<u16, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, whole, faults, statuses, violations } = self;
        write!(
            f,
            "{requests} requests, {whole} whole, {faults} faults, {statuses:?}, {} broken",
            violations.len()
        )?;
        for it in violations.iter().take(12) {
            write!(f, "\n  {it}")?;
        }
        Ok(())
    }
}

/// The state of one seed.
struct Soak {
    fleet: Fleet,
    relays: Vec<Relay>,
    crowd: Rc<Crowd>,
    /// From and until when requests may break.
    rough: Vec<(Instant, Instant)>,
    /// What must be undone, and when.
    undo: Vec<(Instant, Undo)>,
    /// Fronts that were asked to stop or killed, and aren't started again yet.
    ending: Vec<bool>,
    version: u64,
    faults: usize,
}

enum Undo {
    Resume(usize),
    Door(usize),
    Reach(usize),
    Return(usize),
    Restart(usize),
}

/// Plays one seed.
pub(crate) async fn run(seed: u64, minutes: f64, fronts: usize) -> Result<Report, SoakError> {
    let mut soak = Soak::start(fronts).await?;
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for number in 0..CLIENTS {
        actix_rt::spawn(client(Rc::clone(&soak.crowd), seed ^ (number << 32)));
    }
    let end = Instant::now() + Duration::from_secs_f64(minutes * 60.0);
    while Instant::now() < end {
        let pause = Duration::from_millis(random.random_range(50..600));
        soak.pass(Instant::now() + pause).await?;
        let fault = Fault::draw(&mut random, fronts, soak.relays.len());
        soak.strike(fault).await?;
    }
    soak.finish().await
}

impl Soak {
    async fn start(fronts: usize) -> Result<Self, SoakError> {
        let mut fleet = Fleet::without_fronts().await?;
        let mut relays = Vec::new();
        let any = ([127, 0, 0, 1], 0).into();
        for worker in &fleet.workers {
            let relay = Relay::start(any, worker.address(), any).await?;
            fleet.store.put("servers", worker.id(), record(worker, &relay, "ready", None));
            relays.push(relay);
        }
        for _ in 0..fronts {
            fleet.add_front().await?;
        }
        for front in &fleet.fronts {
            front.wait_ready(true).await?;
        }
        let crowd = Rc::new(Crowd::default());
        let (rough, undo, version, faults) = (Vec::new(), Vec::new(), 1, 0);
        let ending = vec![false; fronts];
        let soak = Self { fleet, relays, crowd, rough, undo, ending, version, faults };
        soak.publish();
        Ok(soak)
    }

    /// Tells the clients where the fronts are.
    fn publish(&self) {
        let addresses = self.fleet.fronts.iter().map(FrontProcess::client_address).collect();
        *self.crowd.fronts.borrow_mut() = addresses;
    }

    /// Lets time pass, and undoes what is due.
    async fn pass(&mut self, until: Instant) -> Result<(), SoakError> {
        loop {
            self.undo.sort_by_key(|it| it.0);
            match self.undo.first() {
                Some((at, _)) if *at <= until => {
                    sleep_until(*at).await;
                    let (_, undo) = self.undo.remove(0);
                    self.undo(undo).await?;
                }
                _ => break,
            }
        }
        sleep_until(until).await;
        Ok(())
    }

    async fn strike(&mut self, fault: Fault) -> Result<(), SoakError> {
        self.faults += 1;
        let now = Instant::now();
        let mut until = now;
        let planned = fault.is_planned();
        match fault {
            Fault::Stop(front) => self.end(front, Process::terminate)?,
            Fault::Kill(front) => self.end(front, Process::kill)?,
            Fault::Pause(front, span) => {
                if self.is_running(front)? {
                    self.fleet.fronts[front].process.pause().map_err(StandinError::from)?;
                    until = now + span;
                    self.undo.push((until, Undo::Resume(front)));
                }
            }
            Fault::Reload(front) if self.is_running(front)? => self.reload(front)?,
            Fault::Reload(_) => {}
            Fault::Door(front, fault, span) => {
                self.fleet.fronts[front].store_listener.set_fault(Some(fault));
                until = now + span;
                self.undo.push((until, Undo::Door(front)));
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
                self.undo.push((until, Undo::Reach(worker)));
            }
            Fault::Leave(worker, span) => {
                self.list(worker, "draining", None);
                self.undo.push((now + span, Undo::Return(worker)));
            }
            Fault::Configure => {
                self.version += 1;
                self.fleet.configure(self.version, &json!([]));
            }
        }
        if !planned {
            self.rough.push((now, until + AFTERMATH));
        }
        Ok(())
    }

    fn is_running(&mut self, front: usize) -> Result<bool, SoakError> {
        let status = self.fleet.fronts[front].process.exit_status();
        Ok(status.map_err(StandinError::from)?.is_none())
    }

    /// Ends a front by a signal, to be started again once it has ended.
    fn end(
        &mut self,
        front: usize,
        signal: impl Fn(&mut Process) -> Result<(), HarnessError>,
    ) -> Result<(), SoakError> {
        if !self.is_running(front)? {
            return Ok(());
        }
        signal(&mut self.fleet.fronts[front].process).map_err(StandinError::from)?;
        if !std::mem::replace(&mut self.ending[front], true) {
            self.undo.push((Instant::now() + LOOK, Undo::Restart(front)));
        }
        Ok(())
    }

    fn reload(&self, front: usize) -> Result<(), SoakError> {
        let id = self.fleet.fronts[front].process.id().to_string();
        let sent = std::process::Command::new("kill").args(["-HUP", &id]).status();
        sent.map(|_| ()).map_err(|e| StandinError::from(e).into())
    }

    fn list(&self, worker: usize, state: &str, born: Option<u64>) {
        let (worker, relay) = (&self.fleet.workers[worker], &self.relays[worker]);
        self.fleet.store.put("servers", worker.id(), record(worker, relay, state, born));
    }

    async fn undo(&mut self, undo: Undo) -> Result<(), SoakError> {
        match undo {
            Undo::Resume(front) if self.is_running(front)? => {
                self.fleet.fronts[front].process.resume().map_err(StandinError::from)?;
            }
            Undo::Resume(_) => {}
            Undo::Door(front) => self.fleet.fronts[front].store_listener.set_fault(None),
            Undo::Reach(worker) => self.relays[worker].set_mode(Mode::Open),
            Undo::Return(worker) => {
                self.list(worker, "ready", Some(self.version * 1_000 + self.faults as u64))
            }
            Undo::Restart(front) => self.restart(front).await?,
        }
        Ok(())
    }

    /// Starts a front again once it has ended.
    async fn restart(&mut self, front: usize) -> Result<(), SoakError> {
        if self.is_running(front)? {
            self.undo.push((Instant::now() + LOOK, Undo::Restart(front)));
            return Ok(());
        }
        self.ending[front] = false;
        self.fleet.fronts[front].restart().await?;
        self.publish();
        Ok(())
    }

    /// Heals everything, waits until the fleet serves again, and checks what was seen.
    async fn finish(mut self) -> Result<Report, SoakError> {
        while !self.undo.is_empty() {
            self.pass(Instant::now() + LOOK).await?;
        }
        self.crowd.over.set(true);
        sleep(AFTERMATH).await;
        let mut report = Report { faults: self.faults, ..Report::default() };
        self.recover(&mut report).await?;
        let seen = self.crowd.seen.borrow().clone();
        for it in &seen {
            self.judge(it, &mut report);
        }
        Ok(report)
    }

    async fn recover(&mut self, report: &mut Report) -> Result<(), SoakError> {
        let until = Instant::now() + RECOVER;
        for number in 0..self.fleet.fronts.len() {
            self.fleet.fronts[number].wait_ready(true).await?;
        }
        let mut served = 0;
        while served < SERVED && Instant::now() < until {
            let front = served % self.fleet.fronts.len();
            let call = self.fleet.call(front, "GET", Paths::PANEL).await;
            if call.is_ok_and(|(_, answer): (String, Answer)| answer.status == 200) {
                served += 1;
            } else {
                sleep(Duration::from_millis(100)).await;
            }
        }
        if served < SERVED {
            report.violations.push(Violation::new(format!(
                "only {served} of {SERVED} calls were served after all faults"
            )));
        }
        Ok(())
    }

    fn judge(&self, seen: &Seen, report: &mut Report) {
        report.requests += 1;
        if let Some(answer) = &seen.answer {
            *report.statuses.entry(answer.status).or_default() += 1;
            report.whole += usize::from(answer.status == 200 && answer.whole);
        }
        let near = |it: &(Instant, Instant)| seen.sent < it.1 && seen.ended + AFTERMATH > it.0;
        let calm = !self.rough.iter().any(near);
        report.violations.extend(check(seen, self.fleet.runs(&seen.id), calm));
    }
}

/// The record of a worker that is reached through its relay.
fn record(worker: &Worker, relay: &Relay, state: &str, born: Option<u64>) -> serde_json::Value {
    let mut record = worker.record(state);
    record["address"] = json!(relay.local_addr().to_string());
    if let Some(born) = born {
        record["born"] = json!(born);
    }
    record
}
