//! Ends faults when they are due, and starts fronts and workers again that have ended.

use std::time::Duration;

use daisychute_platform_standin::StandinError;
use daisychute_standin::relay::Mode;
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::faults::Fault;
use crate::run::{Soak, SoakError};

/// Time from the end of a worker under a prompt until it is started again.
pub(super) const WORKER_RESTART_TIME: Duration = Duration::from_millis(1_400);
/// Pause between two checks whether a process has ended or cleanups are due.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of log lines kept of fronts that have ended, the latest ones.
const MAX_ENDED_LOG_LINES: usize = 100_000;

/// Ends a fault; the number is the index of the front or worker.
pub(super) enum FaultCleanup {
    /// Resume a suspended front.
    Resume(usize),
    /// Let the store serve a front normally again.
    RestoreStore(usize),
    /// Let the store serve all fronts normally again.
    RestoreStoreOfAll,
    /// Accept connections to a worker again.
    Reconnect(usize),
    /// Register a worker that drained or announced to leave again, as newly started.
    Register(usize),
    /// Restart a front once it has ended.
    Restart(usize),
    /// Inject a planned fault that follows another one.
    Follow(Fault),
    /// Write again what the operator and the workers wrote, after a return of the store.
    Rewrite,
    /// Start a worker again that has ended.
    StartAgain(usize),
    /// End the limit that a worker names.
    LiftLimit(usize),
    /// End the cuts of a front that are over.
    EndCut(usize),
    /// Start workers of a new software version.
    Join,
    /// Take the workers of all software versions but the latest out of the store.
    RetireOldVersion,
}

impl Soak {
    /// Runs cleanups, and starts workers again that have ended, until no cleanup is left for which `is_awaited` is true.
    pub(super) async fn run_cleanups(
        &mut self,
        is_awaited: impl Fn(&FaultCleanup) -> bool,
    ) -> Result<(), SoakError> {
        loop {
            self.schedule_starts_of_ended_workers();
            if !self.cleanups.iter().any(|it| is_awaited(&it.1)) {
                return Ok(());
            }
            self.run_cleanups_until(Instant::now() + POLL_INTERVAL).await?;
        }
    }

    /// Waits until this time and runs each cleanup when it is due.
    pub(super) async fn run_cleanups_until(&mut self, until: Instant) -> Result<(), SoakError> {
        loop {
            self.cleanups.sort_by_key(|it| it.0);
            match self.cleanups.first() {
                Some((at, _)) if *at <= until => {
                    sleep_until(*at).await;
                    let (_, cleanup) = self.cleanups.remove(0);
                    self.clean_up(cleanup).await?;
                }
                _ => break,
            }
        }
        sleep_until(until).await;
        Ok(())
    }

    /// Schedules the start of each worker that a prompt has ended.
    pub(super) fn schedule_starts_of_ended_workers(&mut self) {
        for (number, worker) in self.fleet.workers.iter().enumerate() {
            if worker.has_ended() && self.starting.insert(number) {
                let at = Instant::now() + WORKER_RESTART_TIME;
                self.cleanups.push((at, FaultCleanup::StartAgain(number)));
            }
        }
    }

    async fn clean_up(&mut self, cleanup: FaultCleanup) -> Result<(), SoakError> {
        match cleanup {
            FaultCleanup::Resume(front) if self.is_running(front)? => {
                self.fleet.fronts[front].process.resume().map_err(StandinError::from)?;
                self.changes.record_disturbance(Some(front), Duration::ZERO);
            }
            FaultCleanup::Resume(_) => {}
            FaultCleanup::RestoreStore(front) => {
                self.fleet.fronts[front].store_listener.set_fault(None);
                self.changes.record_disturbance(Some(front), Duration::ZERO);
            }
            FaultCleanup::RestoreStoreOfAll => {
                self.store_listeners().for_each(|it| it.set_fault(None));
                self.changes.record_disturbance(None, Duration::ZERO);
            }
            FaultCleanup::Reconnect(worker) => self.relays[worker].set_mode(Mode::Open),
            FaultCleanup::Register(worker) => {
                self.changes.record_return(worker);
                self.register(worker);
            }
            FaultCleanup::Restart(front) => self.restart(front).await?,
            FaultCleanup::Follow(fault) => self.inject(fault)?,
            FaultCleanup::Rewrite => self.rewrite(),
            FaultCleanup::LiftLimit(worker) => self.fleet.workers[worker].set_limit(None),
            FaultCleanup::EndCut(front) => self.end_cut(front),
            FaultCleanup::Join => self.join().await?,
            FaultCleanup::RetireOldVersion => self.retire_old_version(),
            FaultCleanup::StartAgain(worker) => {
                self.starting.remove(&worker);
                self.fleet.workers[worker].start_again().await?;
                self.register(worker);
            }
        }
        Ok(())
    }

    /// Restarts a front if it has ended, and checks again later otherwise.
    async fn restart(&mut self, front: usize) -> Result<(), SoakError> {
        if self.is_running(front)? || self.awaits_successor(front) {
            self.cleanups.push((Instant::now() + POLL_INTERVAL, FaultCleanup::Restart(front)));
            return Ok(());
        }
        self.restart_pending[front] = false;
        self.ended_logs.extend(self.fleet.fronts[front].process.stdout());
        let excess = self.ended_logs.len().saturating_sub(MAX_ENDED_LOG_LINES);
        self.ended_logs.drain(..excess);
        self.restore_released_lease(front);
        self.fleet.fronts[front].restart().await?;
        self.changes.record_disturbance(Some(front), Duration::ZERO);
        self.publish_addresses();
        Ok(())
    }

    /// Registers a worker as newly started.
    fn register(&mut self, worker: usize) {
        self.worker_starts += 1;
        self.fleet.workers[worker].restart();
        self.put_record(worker, "ready", Some(self.worker_starts));
    }

    /// Writes again what the operator and the workers wrote.
    fn rewrite(&self) {
        self.fleet.configure(self.version, &json!([]));
        for (worker, record) in self.fleet.workers.iter().zip(&self.records) {
            self.fleet.store.put("servers", worker.id(), record.clone());
        }
    }
}
