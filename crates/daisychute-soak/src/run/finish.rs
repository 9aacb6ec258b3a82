//! Ends a run: checks that the fleet recovers, and the recorded requests.

use std::time::Duration;

use daisychute_platform_standin::{Answer, Paths};
use tokio::time::{Instant, sleep};

use crate::checks::{RequestRecord, Violation, check};
use crate::duties::check_reports;
use crate::faults::Fault;
use crate::limits::check_limits;
use crate::notices::check_notices;
use crate::poison::{PoisonKind, check_poison};
use crate::report::Report;
use crate::run::cleanups::{FaultCleanup, WORKER_RESTART_TIME};
use crate::run::{RECOVERY_PERIOD, Soak, SoakError};
use crate::versions::check_streams;

/// Maximum time of the recovery check, in which all fronts become ready and calls succeed.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);
/// Number of calls that must succeed after the last fault.
const REQUIRED_SUCCESSES: usize = 20;

impl Soak {
    /// Ends all faults, checks that the fleet recovers, and checks every recorded request.
    pub(super) async fn finish(
        mut self,
        poison_kind: Option<PoisonKind>,
    ) -> Result<Report, SoakError> {
        // Requests may end workers until the clients have stopped, so the starts of workers are awaited only then.
        self.run_cleanups(|it| !matches!(it, FaultCleanup::StartAgain(_))).await?;
        self.pool.stopping.set(true);
        sleep(RECOVERY_PERIOD).await;
        self.run_cleanups(|_| true).await?;
        if self.foreign.is_some() {
            // The entries still stand.
            self.inject(Fault::KillAll)?;
            self.run_cleanups(|_| true).await?;
        }
        let foreign_entries = self.foreign.as_ref().map(|it| it.count);
        let mut report = Report { faults: self.faults, foreign_entries, ..Report::default() };
        if let Some(kind) = poison_kind {
            self.check_poison(kind, &mut report);
        }
        self.check_recovery(&mut report).await;
        let records = self.pool.records.borrow().clone();
        let runs = self.fleet.run_counts();
        for it in &records {
            self.check_request(it, runs.get(&it.id).copied().unwrap_or_default(), &mut report);
        }
        let in_touch = |from, it: &RequestRecord| self.is_in_touch(from, it);
        let (violations, limited) =
            check_limits(&self.fleet.workers, &self.limit_periods, &records, in_touch);
        report.violations.extend(violations);
        report.limited = limited;
        let streams = self.pool.streams.borrow();
        let (violations, resumed) = check_streams(&streams, in_touch);
        report.violations.extend(violations);
        report.resumed = resumed;
        self.count_cuts(&mut report);
        if let Some(api) = &self.control_api {
            let (violations, counts) = check_reports(&api.calls());
            report.violations.extend(violations);
            report.duties = Some(counts);
        }
        if self.change_rng.is_some() {
            self.check_changes(&mut report);
        }
        report.violations.extend(check_notices(&self.fleet.workers, &records, |from, to| {
            self.is_disturbed(from, to)
        }));
        if !report.violations.is_empty() {
            report.front_logs = self.fleet.fronts.iter().map(|it| it.process.stdout()).collect();
        }
        Ok(report)
    }

    /// Checks the requests that end workers. The ends then count as disturbances for all other requests.
    fn check_poison(&mut self, kind: PoisonKind, report: &mut Report) {
        let ends = self.fleet.poison.ends();
        let is_in_touch = |it: &RequestRecord| self.is_in_touch(it.sent_at, it);
        let (violations, poisoned) = check_poison(
            &self.fleet.workers,
            kind,
            &ends,
            &self.pool.poisoned.borrow(),
            &self.pool.sound.borrow(),
            is_in_touch,
        );
        report.violations.extend(violations);
        report.poisoned = poisoned;
        let until = WORKER_RESTART_TIME + RECOVERY_PERIOD;
        self.disturbances.extend(ends.into_iter().map(|it| (it, it + until)));
    }

    fn is_disturbed(&self, from: Instant, to: Instant) -> bool {
        self.disturbances.iter().any(|it| from < it.1 && to > it.0)
    }

    /// Whether the front of a request had been started long enough before to know the others, and nothing unplanned went
    /// wrong from `from` to the end of the request.
    fn is_in_touch(&self, from: Instant, request: &RequestRecord) -> bool {
        let started = self.pool.front_starts.borrow().get(&request.front).copied();
        let is_new = started.is_none_or(|it| request.sent_at < it + RECOVERY_PERIOD);
        !is_new && !self.is_disturbed(from, request.ended_at)
    }

    /// Waits until all fronts are ready and enough calls have succeeded; it is a violation if they are not, or have not, in
    /// time.
    async fn check_recovery(&mut self, report: &mut Report) {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        for (number, front) in self.fleet.fronts.iter().enumerate() {
            if front.wait_ready(true).await.is_err() {
                let text = format!("front {number} isn't ready after the last fault");
                report.violations.push(Violation::new(text));
            }
        }
        let mut successes = 0;
        while successes < REQUIRED_SUCCESSES && Instant::now() < until {
            let front = successes % self.fleet.fronts.len();
            let call = self.fleet.call(front, "GET", Paths::PANEL).await;
            if call.is_ok_and(|(_, response): (String, Answer)| response.status == 200) {
                successes += 1;
            } else {
                sleep(Duration::from_millis(100)).await;
            }
        }
        if successes < REQUIRED_SUCCESSES {
            report.violations.push(Violation::new(format!(
                "only {successes} of {REQUIRED_SUCCESSES} calls succeeded after the last fault"
            )));
        }
    }

    /// Counts a request and reports its violations.
    fn check_request(&self, record: &RequestRecord, runs: u32, report: &mut Report) {
        report.requests += 1;
        if let Some(response) = &record.response {
            *report.statuses.entry(response.status).or_default() += 1;
            if response.status == 503 {
                *report.refusals.entry(response.body.clone()).or_default() += 1;
            }
            report.complete += usize::from(response.status == 200 && response.whole);
        }
        let overlaps = |it: &(Instant, Instant)| {
            record.sent_at < it.1 && record.ended_at + RECOVERY_PERIOD > it.0
        };
        let undisturbed = !self.disturbances.iter().any(overlaps);
        let violations = check(record, runs, undisturbed);
        if !violations.is_empty() {
            report.log_lines.extend(self.log_lines(&record.id));
        }
        report.violations.extend(violations);
    }

    /// The lines that the fronts logged about a request.
    fn log_lines(&self, id: &str) -> Vec<String> {
        let running = self.fleet.fronts.iter().flat_map(|it| it.process.stdout());
        let lines = self.ended_logs.iter().cloned().chain(running);
        lines.filter(|it| it.contains(id)).collect()
    }
}
