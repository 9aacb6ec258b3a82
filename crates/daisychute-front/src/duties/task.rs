//! Runs the lease of the usage reports, and sends them while this front holds it.

use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{Era, Incarnation, Term, Time};
use daisychute_store::{
    Holder, Lease, LeaseAction, LeaseEvent, LeaseRecord, Object, ObjectKind, ReadOutcome,
    ResourceVersion, WriteId, WriteOutcome,
};
use daisychute_usage::{
    CallOutcome, ReportState, ReporterAction, ReporterEvent, StateUnavailable, StateVersion,
    StateWrite, UsageReport, UsageReporter, WindowId,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::duties::input::DutyInput;
use crate::duties::link::{DutyLink, Held, format_counts};
use crate::duties::settings::CALL_TIMEOUT;
use crate::state::FrontState;
use crate::{ControlAnswer, ControlApi, Dialect, DutyAnswer, DutyCall, DutyStore};

/// Name of the duty in the objects of the store and in metrics.
const DUTY: &str = "usage-report";
/// Interval at which timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which changed shares are sent to the fronts that collect them.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Time without any response of the control API after which the lease is released, so that a front that may reach it
/// takes the duty over.
const MAX_API_SILENCE: Duration = Duration::from_secs(8);
/// Time for which a front that gave the duty up leaves it to others.
const PAUSE_AFTER_STEP_DOWN: Duration = Duration::from_secs(10);

/// Task that runs the duty of usage reports.
pub(crate) struct DutyTask<D, S, A> {
    state: Rc<FrontState<D>>,
    link: Rc<DutyLink>,
    store: S,
    api: A,
    holder: String,
    tx: UnboundedSender<DutyInput>,
    lease: Lease,
    reporter: UsageReporter,
    state_write_id: WriteId,
    held: Option<Held>,
    eligible: bool,
    /// Until when this front leaves the duty to others.
    paused_until: Time,
    /// The term under which this front gave the duty up: it makes no further call under it.
    given_up: Option<Term>,
    /// Whether the lease is to be released because the duty was given up.
    step_down_due: bool,
    /// Number of calls of the store for the lease that are in flight.
    lease_calls: u32,
    /// When the call in flight can no longer be executed; `None` if none is in flight.
    call_ends_at: Option<Time>,
    /// Since when the control API hasn't responded; `None` if it responded to the last call.
    unanswered_since: Option<Time>,
    shares_due_at: Time,
    stopping: bool,
    release_requested: bool,
    /// Era, holder and term of the lease that was last logged.
    logged_lease: Option<(Era, Option<Holder>, Term)>,
}

impl<D: Dialect, S: DutyStore, A: ControlApi> DutyTask<D, S, A> {
    /// Creates the task of a front, with the store and the control API that it calls.
    pub(crate) fn new(
        state: Rc<FrontState<D>>,
        link: Rc<DutyLink>,
        (store, api): (S, A),
        incarnation: u64,
    ) -> Self {
        let name = link.settings.holder.clone();
        let holder = Holder { process: name.clone(), incarnation: Incarnation::new(incarnation) };
        let writer = format!("{name}/{incarnation}");
        let lease = Lease::new(
            link.settings.lease_settings(),
            DUTY,
            holder,
            WriteId::first(format!("{writer}/lease")),
            link.own_incarnation,
        );
        let reporter = link.new_reporter();
        Self {
            store,
            api,
            holder: name.to_string(),
            tx: link.sender(),
            lease,
            reporter,
            state_write_id: WriteId::first(format!("{writer}/usage")),
            held: None,
            eligible: false,
            paused_until: Time::ZERO,
            given_up: None,
            step_down_due: false,
            lease_calls: 0,
            call_ends_at: None,
            unanswered_since: None,
            shares_due_at: Time::ZERO,
            stopping: false,
            release_requested: false,
            logged_lease: None,
            state,
            link,
        }
    }

    /// Runs the duty for the life of the process.
    pub(crate) async fn run(mut self, mut rx: UnboundedReceiver<DutyInput>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(input) = rx.recv() => self.handle(input),
                _ = ticks.tick() => self.tick(),
            }
            self.release_if_given_up();
            self.release_if_stopping();
        }
    }

    fn handle(&mut self, input: DutyInput) {
        match input {
            DutyInput::LeaseRead(answer) => {
                self.lease_calls -= 1;
                let (era, outcome) = self.record_answer(answer);
                self.log_lease(era, &outcome);
                self.lease(LeaseEvent::Read { era, outcome });
            }
            DutyInput::LeaseWritten(answer) => {
                self.lease_calls -= 1;
                let (era, outcome) = self.record_answer(answer);
                self.lease(LeaseEvent::Written { era, outcome });
            }
            DutyInput::StateRead(answer) => {
                let (_, outcome) = self.record_answer(answer);
                self.reporter(ReporterEvent::StateRead(parse_state(outcome)))
            }
            DutyInput::StateWritten(answer) => {
                let (_, outcome) = self.record_answer(answer);
                self.reporter(ReporterEvent::StateWritten(state_write(outcome)));
            }
            DutyInput::ReportEnded { window, answer } => self.report_ended(window, answer),
            DutyInput::Share(share) => self.reporter(ReporterEvent::ShareReceived(share)),
            DutyInput::TermSeen(term) => self.lease(LeaseEvent::TermSeen(term)),
            DutyInput::ReportedByPeer(stamp, window) => {
                self.lease(LeaseEvent::TermSeen(stamp.term));
                self.reporter(ReporterEvent::ReportedByPeer { stamp, window });
            }
            DutyInput::Stop => self.stopping = true,
        }
    }

    /// Records the era of an answer of the store. The lease is lost with an earlier era, before anything is made of what the
    /// answer says. Returns the era, zero if there is none, and the outcome.
    fn record_answer<T>(&mut self, answer: DutyAnswer<T>) -> (Era, T) {
        if let Some(era) = answer.era {
            self.state.record_era(era.get(), "directory");
            self.check_era();
        }
        (answer.era.unwrap_or_default(), answer.outcome)
    }

    /// Gives the lease up if the store was restored, as any answer of it or a peer told.
    fn check_era(&mut self) {
        let era = Era::new(self.state.era.latest());
        if era > self.lease.era() {
            self.lease(LeaseEvent::EraSeen(era));
        }
    }

    fn tick(&mut self) {
        self.check_era();
        let now = self.link.clock.now();
        let eligible = !self.stopping && self.paused_until <= now && self.link.is_candidate(now);
        if eligible == self.eligible {
            self.lease(LeaseEvent::Tick);
        } else {
            self.eligible = eligible;
            self.lease(LeaseEvent::Eligible(eligible));
        }
        if self.shares_due_at <= now {
            self.shares_due_at = now + SHARE_INTERVAL;
            self.link.send_shares();
            let sources = self.link.live_sources(now);
            self.reporter(ReporterEvent::SourcesSeen(sources));
        }
        if self.unanswered_since.is_some_and(|it| now.since(it) >= MAX_API_SILENCE) {
            self.step_down("control API doesn't respond");
        }
        self.reporter(ReporterEvent::Tick);
    }

    /// Logs the lease if the era, its holder or its term has changed since it was last read, with what other fronts told of it.
    fn log_lease(&mut self, era: Era, outcome: &ReadOutcome) {
        let ReadOutcome::Found(object) = outcome else { return };
        let Ok(LeaseRecord { holder, term, .. }) = object.parse() else { return };
        let lease = Some((era, holder, term));
        if self.logged_lease == lease {
            return;
        }
        let holder = lease.as_ref().and_then(|it| it.1.as_ref()).map(|it| it.process.to_string());
        self.logged_lease = lease;
        let version = object.metadata.resource_version.as_ref().map(ResourceVersion::as_str);
        let now = self.link.clock.now();
        let heard = self.link.heard_holder();
        let heard_term = heard.map(|it| it.term.get());
        let heard_from = heard.map(|it| it.address.to_string());
        let heard_age_ms = heard.map(|it| now.since(it.last_seen).as_millis());
        log::info!(duty = DUTY, version, term:%, holder, heard_term, heard_from, heard_age_ms; "lease read");
    }

    /// Releases the lease and leaves the duty to other fronts for a while.
    fn step_down(&mut self, reason: &str) {
        self.unanswered_since = None;
        let Some(Held { term, .. }) = self.held else { return };
        log::warn!(duty = DUTY, term:%, reason; "duty given up");
        self.given_up = Some(term);
        self.paused_until = self.link.clock.now() + PAUSE_AFTER_STEP_DOWN;
        self.eligible = false;
        self.step_down_due = true;
        self.lease(LeaseEvent::Eligible(false));
    }

    /// Releases the lease that was given up, once the call in flight can no longer be executed.
    fn release_if_given_up(&mut self) {
        if self.step_down_due && self.call_ends_at.is_none() {
            self.step_down_due = false;
            self.lease(LeaseEvent::StepDown);
        }
    }

    /// Releases the lease once the call in flight can no longer be executed.
    fn release_if_stopping(&mut self) {
        if !self.stopping {
            return;
        }
        if self.call_ends_at.is_none() && !self.release_requested {
            self.release_requested = true;
            self.lease(LeaseEvent::Release);
        }
        if self.release_requested && self.held.is_none() && self.lease_calls == 0 {
            self.link.record_released();
        }
    }

    fn lease(&mut self, event: LeaseEvent) {
        let mut actions = Vec::new();
        self.lease.handle(self.link.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Read => {
                    self.lease_calls += 1;
                    let (store, tx) = (self.store.clone(), self.tx.clone());
                    actix_rt::spawn(async move {
                        let outcome = store.read(ObjectKind::Leases, DUTY).await;
                        // The receiver lives as long as the process.
                        let _ = tx.send(DutyInput::LeaseRead(outcome));
                    });
                }
                LeaseAction::Write(object) => {
                    self.lease_calls += 1;
                    let (store, tx) = (self.store.clone(), self.tx.clone());
                    actix_rt::spawn(async move {
                        let _ = tx.send(DutyInput::LeaseWritten(store.write(&object).await));
                    });
                }
                LeaseAction::Acquired { term, until } => {
                    log::info!(duty = DUTY, term:%; "duty acquired");
                    metrics::gauge!("daisychute_duty_held", "duty" => DUTY).set(1.0);
                    metrics::counter!("daisychute_duty_changes_total", "duty" => DUTY, "change" => "acquired").increment(1);
                    self.set_held(Some(Held { term, until }));
                    self.reporter(ReporterEvent::Held { term, until });
                }
                LeaseAction::Renewed { until } => {
                    let Some(Held { term, .. }) = self.held else { continue };
                    self.set_held(Some(Held { term, until }));
                    self.reporter(ReporterEvent::Held { term, until });
                }
                LeaseAction::Lost { term } => {
                    log::info!(duty = DUTY, term:%; "duty no longer held");
                    metrics::gauge!("daisychute_duty_held", "duty" => DUTY).set(0.0);
                    metrics::counter!("daisychute_duty_changes_total", "duty" => DUTY, "change" => "lost").increment(1);
                    self.unanswered_since = None;
                    self.set_held(None);
                    self.reporter(ReporterEvent::Lost);
                }
                // Ticks are frequent enough.
                LeaseAction::WakeAt(_) => {}
            }
        }
    }

    fn set_held(&mut self, held: Option<Held>) {
        self.held = held;
        self.link.held.set(held);
    }

    fn reporter(&mut self, event: ReporterEvent) {
        let mut actions = Vec::new();
        let now = self.link.clock.now();
        self.reporter.handle(now, self.link.true_time(now), event, &mut actions);
        // Its peers must hear of a frozen window before the API does.
        if self.link.announce(self.reporter.announcement()) && self.held.is_some() {
            self.state.peers.request_urgent_heartbeat();
        }
        for action in actions {
            match action {
                ReporterAction::ReadState => {
                    let (store, tx) = (self.store.clone(), self.tx.clone());
                    actix_rt::spawn(async move {
                        let outcome = store.read(ObjectKind::Duties, DUTY).await;
                        let _ = tx.send(DutyInput::StateRead(outcome));
                    });
                }
                ReporterAction::WriteState { state, replaces } => {
                    let spec = serde_json::to_value(state).unwrap_or_default();
                    let replaces = replaces.map(|it| ResourceVersion::from(it.as_str()));
                    let object = Object::new(ObjectKind::Duties, DUTY, spec)
                        .version(replaces)
                        .set_write_id(&self.state_write_id.take());
                    let (store, tx) = (self.store.clone(), self.tx.clone());
                    actix_rt::spawn(async move {
                        let _ = tx.send(DutyInput::StateWritten(store.write(&object).await));
                    });
                }
                ReporterAction::SendReport { term, report } => self.send_report(term, report),
                ReporterAction::Reported { window, requests } => {
                    let term = self.held.map(|it| it.term);
                    log::info!(window:%, requests, term:?; "usage reported");
                    metrics::counter!("daisychute_usage_requests_reported_total")
                        .increment(requests);
                }
                ReporterAction::Unknown { window } => {
                    log::warn!(window:%; "usage unknown: no front counted this window from its beginning");
                    metrics::counter!("daisychute_unknown_usage_windows_total").increment(1);
                }
                ReporterAction::GiveUp => self.step_down("control API knows a later holder"),
            }
        }
    }

    /// Starts a call if the lease is valid for longer than the call may take and no other call may still be executed.
    fn send_report(&mut self, term: Term, report: UsageReport) {
        self.check_era();
        let started = self.link.clock.now();
        let ends_at = started + CALL_TIMEOUT;
        let may_start = !self.stopping
            && self.call_ends_at.is_none()
            && self.given_up != Some(term)
            && self.held.is_some_and(|it| it.term == term && ends_at < it.until);
        if !may_start {
            let outcome = CallOutcome::Rejected;
            return self.reporter(ReporterEvent::ReportEnded { window: report.window, outcome });
        }
        let counts = format_counts(&report.counts);
        log::info!(window:% = report.window, term:%, counts; "usage report sent");
        self.call_ends_at = Some(ends_at);
        let (api, tx, link) = (self.api.clone(), self.tx.clone(), Rc::clone(&self.link));
        let (state, era) = (Rc::clone(&self.state), self.lease.era());
        let call = DutyCall { holder: self.holder.clone(), term, timeout: CALL_TIMEOUT };
        actix_rt::spawn(async move {
            let may_send = || {
                let held = link.held.get().filter(|it| it.term == term);
                let is_restored = Era::new(state.era.latest()) > era;
                !is_restored
                    && link.clock.now() < ends_at
                    && held.is_some_and(|it| ends_at < it.until)
            };
            let answer = api.report_usage(&call, &report, may_send).await;
            if answer == ControlAnswer::NoAnswer {
                // It may still be executed, also if the connection was lost early.
                sleep(ends_at.since(link.clock.now())).await;
            }
            let _ = tx.send(DutyInput::ReportEnded { window: report.window, answer });
        });
    }

    fn report_ended(&mut self, window: WindowId, answer: ControlAnswer) {
        let started = self.call_ends_at.take().unwrap_or_default() - CALL_TIMEOUT;
        let now = self.link.clock.now();
        let took_ms = now.since(started).as_millis();
        let (outcome, name) = match answer {
            ControlAnswer::Accepted => (CallOutcome::Accepted, "accepted"),
            ControlAnswer::Superseded => (CallOutcome::Superseded, "superseded"),
            ControlAnswer::Refused(_) => (CallOutcome::Rejected, "refused"),
            ControlAnswer::NotSent => (CallOutcome::Rejected, "not_sent"),
            ControlAnswer::NoAnswer => (CallOutcome::Unknown, "no_answer"),
        };
        let term = self.held.map(|it| it.term);
        log::info!(window:%, term:?, outcome = name, took_ms; "usage report ended");
        metrics::counter!("daisychute_usage_reports_total", "outcome" => name).increment(1);
        self.unanswered_since = match answer {
            ControlAnswer::NotSent | ControlAnswer::NoAnswer => {
                self.unanswered_since.or(Some(started))
            }
            _ => None,
        };
        self.reporter(ReporterEvent::ReportEnded { window, outcome });
    }
}

fn parse_state(
    outcome: ReadOutcome,
) -> Result<Option<(ReportState, StateVersion)>, StateUnavailable> {
    let object = match outcome {
        ReadOutcome::Found(object) => object,
        ReadOutcome::Missing => return Ok(None),
        ReadOutcome::Failed => return Err(StateUnavailable),
    };
    let version = object.metadata.resource_version.clone().ok_or(StateUnavailable)?;
    let state = object.parse().map_err(|error| {
        log::error!(error:%; "state of the usage reports can't be read");
        StateUnavailable
    })?;
    Ok(Some((state, StateVersion::from(version.as_str()))))
}

fn state_write(outcome: WriteOutcome) -> StateWrite {
    match outcome {
        WriteOutcome::Done(version) => StateWrite::Done(StateVersion::from(version.as_str())),
        WriteOutcome::Conflict => StateWrite::Conflict,
        WriteOutcome::Unknown => StateWrite::Unknown,
        WriteOutcome::Failed => StateWrite::Failed,
    }
}
