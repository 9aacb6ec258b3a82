//! The holder's state machine: freezes windows in the store, then reports them.

use std::collections::BTreeSet;

use daisychute_core::{Term, Time};

use crate::{
    CallOutcome, ReportState, ReporterAction, ReporterEvent, StateStamp, StateVersion, StateWrite,
    UnixTime, UsageCollector, UsageReport, UsageSettings, UsageShare, WindowId,
};

/// One time of holding the lease.
#[derive(Debug, Clone)]
struct Tenure {
    term: Term,
    /// The lease is valid until then.
    until: Time,
    /// When the state was first written under this term; windows are frozen only some time later.
    adopted_at: Option<Time>,
    /// State as last known to be in effect, without the reports that were accepted since.
    // Invariant: empty until `adopted_at` is set; each report was in the store with these counts before it got here.
    committed: ReportState,
    /// Version of the state object when `committed` took effect.
    version: Option<StateVersion>,
    /// Highest serial of a state that was written under this term, whatever came of it.
    last_serial: u64,
    /// Whether the state must be read before anything is written or sent.
    unread: bool,
    /// A write that may have taken effect, until the state was read back.
    ambiguous: Option<Attempt>,
    next_access: Time,
    next_call: Time,
}

impl Tenure {
    const fn new(term: Term, until: Time) -> Self {
        Self {
            term,
            until,
            adopted_at: None,
            committed: ReportState { term, serial: 0, last_frozen: None, reports: Vec::new() },
            version: None,
            last_serial: 0,
            unread: true,
            ambiguous: None,
            next_access: Time::ZERO,
            next_call: Time::ZERO,
        }
    }
}

/// A write of the state.
#[derive(Debug, Clone)]
struct Attempt {
    state: ReportState,
    replaces: Option<StateVersion>,
    /// Windows that the write passes over because no source counted them from their beginning.
    unknown: Vec<WindowId>,
}

#[derive(Debug)]
enum Access {
    Read,
    Write(Attempt),
}

/// Decides when windows are frozen and reported.
///
/// The counts of a window are frozen by a conditional write of the state under the holder's term. Only counts are sent
/// that are known to be in the store, and a successor reads and sends the same ones. So two holders never send
/// different counts for one window.
#[derive(Debug)]
pub struct UsageReporter {
    settings: UsageSettings,
    /// When the first event was handled.
    started_at: Option<Time>,
    collector: UsageCollector,
    // Invariant: at most `MAX_SOURCES`.
    sources: BTreeSet<u64>,
    /// Highest window that is known to be frozen, here or at a peer. Never decreases.
    floor: Option<WindowId>,
    /// Stamp of the latest state that is known to have been written, here or by a peer. Never decreases.
    known: Option<StateStamp>,
    tenure: Option<Tenure>,
    /// Terms up to this one have a later holder, as the API or the store showed.
    ended: Option<Term>,
    /// The access to the state in progress, and the term under which it began. It outlives the tenure, so that its
    /// result is not taken for that of a later access.
    access: Option<(Term, Access)>,
    /// The call in flight and its term. It outlives the tenure: at most one call is in flight.
    call: Option<(Term, UsageReport)>,
}

impl UsageReporter {
    /// Creates a reporter without a lease.
    #[must_use]
    pub fn new(settings: UsageSettings) -> Self {
        Self {
            settings,
            started_at: None,
            collector: UsageCollector::new(),
            sources: BTreeSet::new(),
            floor: None,
            known: None,
            tenure: None,
            ended: None,
            access: None,
            call: None,
        }
    }

    /// The highest window that is known to be frozen, here or at a peer, and may have been reported. It is passed to
    /// [`UsageCounter::forget_through`](crate::UsageCounter::forget_through).
    #[must_use]
    pub const fn highest_frozen(&self) -> Option<WindowId> {
        self.floor
    }

    /// What each front, holder or not, tells its peers: the stamp of the latest state, and the highest frozen window that
    /// it knows. Must reach them within `announce_lead`.
    #[must_use]
    pub fn announcement(&self) -> Option<(StateStamp, WindowId)> {
        self.known.zip(self.floor)
    }

    /// Handles an event at `now`, when the true time is `true_time`. Appends what to do to `out`.
    ///
    /// The shell reports exactly one result for each `ReadState`, `WriteState` and `SendReport`.
    pub fn handle(
        &mut self,
        now: Time,
        true_time: UnixTime,
        event: ReporterEvent,
        out: &mut Vec<ReporterAction>,
    ) {
        self.started_at.get_or_insert(now);
        match event {
            ReporterEvent::Held { term, until } => self.held(term, until),
            ReporterEvent::Lost => self.tenure = None,
            ReporterEvent::StateRead(result) => {
                if let Some(Access::Read) = self.take_access() {
                    match result {
                        Ok(found) => self.state_read(now, found, out),
                        Err(_) => self.delay_access(now),
                    }
                }
            }
            ReporterEvent::StateWritten(result) => {
                if let Some(Access::Write(attempt)) = self.take_access() {
                    self.state_written(now, attempt, result, out);
                }
            }
            ReporterEvent::ShareReceived(share) => self.share_received(true_time, &share),
            ReporterEvent::SourcesSeen(sources) => {
                self.sources = sources.into_iter().take(UsageSettings::MAX_SOURCES).collect();
            }
            ReporterEvent::ReportedByPeer { stamp, window } => {
                self.reported_by_peer(true_time, stamp, window);
            }
            ReporterEvent::ReportEnded { window, outcome } => {
                self.report_ended(now, window, outcome, out);
            }
            ReporterEvent::Tick => {}
        }
        self.access_state(now, true_time, out);
        self.send_next(now, out);
    }

    fn held(&mut self, term: Term, until: Time) {
        if self.ended >= Some(term) {
            return;
        }
        match &mut self.tenure {
            Some(tenure) if tenure.term == term => tenure.until = until,
            Some(tenure) if tenure.term > term => {}
            _ => self.tenure = Some(Tenure::new(term, until)),
        }
    }

    fn share_received(&mut self, true_time: UnixTime, share: &UsageShare) {
        // The window after the present one allows for sources whose estimate of the time is ahead.
        let latest = WindowId::containing(true_time, self.settings.window).next();
        self.collector.merge(share, latest);
    }

    fn reported_by_peer(&mut self, true_time: UnixTime, stamp: StateStamp, window: WindowId) {
        let current = WindowId::containing(true_time, self.settings.window);
        // A window far in the future can't have been reported; taking its word would stop all reports until then.
        if window.back(UsageSettings::MAX_WINDOWS as u64) <= current {
            self.known = self.known.max(Some(stamp));
            self.raise_floor(Some(window));
        }
    }

    fn raise_floor(&mut self, window: Option<WindowId>) {
        self.floor = self.floor.max(window);
        if let Some(floor) = self.floor {
            self.collector.forget_through(floor);
        }
    }

    /// Ends the access in progress; `None` if it was begun in an earlier tenure or term.
    fn take_access(&mut self) -> Option<Access> {
        let (term, access) = self.access.take()?;
        let current = self.tenure.as_ref()?;
        (current.term == term).then_some(access)
    }

    fn delay_access(&mut self, now: Time) {
        if let Some(tenure) = &mut self.tenure {
            tenure.next_access = now + self.settings.retry;
        }
    }

    fn give_up(&mut self, out: &mut Vec<ReporterAction>) {
        if let Some(tenure) = self.tenure.take() {
            self.ended = self.ended.max(Some(tenure.term));
            out.push(ReporterAction::GiveUp);
        }
    }

    fn state_read(
        &mut self,
        now: Time,
        found: Option<(ReportState, StateVersion)>,
        out: &mut Vec<ReporterAction>,
    ) {
        let Some(tenure) = &mut self.tenure else { return };
        let (state, version) = found.unzip();
        if state.as_ref().is_some_and(|it| it.term > tenure.term) {
            self.give_up(out);
            return;
        }
        tenure.unread = false;
        let ambiguous = tenure.ambiguous.take();
        if let (Some(attempt), Some(version)) = (&ambiguous, &version)
            && Some(&attempt.state) == state.as_ref()
        {
            self.applied(now, attempt.clone(), version.clone(), out);
            return;
        }
        // A write that has not taken effect may still do so, even after the store went back to the version that it
        // replaces. It is repeated as it was, so that there are never two with other counts.
        if let Some(attempt) = ambiguous.filter(|it| it.replaces == version) {
            self.write(attempt, out);
            return;
        }
        if tenure.adopted_at.is_some() && version == tenure.version {
            return;
        }
        self.adopt(state, version, out);
    }

    /// Writes the state that was found under the present term. Also after the store went back to an older copy, which
    /// lacks windows that were frozen since.
    fn adopt(
        &mut self,
        found: Option<ReportState>,
        version: Option<StateVersion>,
        out: &mut Vec<ReporterAction>,
    ) {
        let Some(tenure) = &mut self.tenure else { return };
        let mut state = tenure.committed.clone();
        if let Some(found) = found {
            // At first all frozen reports are taken over. Later, only a write of this tenure whose result was lost can
            // have frozen more. A state with an earlier stamp than the latest one shows that the store went back: what it
            // has of windows that a peer may have reported isn't sure to be what the peer sent.
            let went_back = Some(found.stamp()) < self.known;
            let is_first = tenure.adopted_at.is_none() && !went_back;
            let known = if is_first { None } else { state.last_frozen.max(self.floor) };
            state.reports.extend(found.reports.into_iter().filter(|it| Some(it.window) > known));
            state.last_frozen = state.last_frozen.max(found.last_frozen);
        }
        state.last_frozen = state.last_frozen.max(self.floor);
        state.serial = tenure.last_serial + 1;
        self.write(Attempt { state, replaces: version, unknown: Vec::new() }, out);
    }

    fn write(&mut self, attempt: Attempt, out: &mut Vec<ReporterAction>) {
        let Some(tenure) = &mut self.tenure else { return };
        tenure.last_serial = tenure.last_serial.max(attempt.state.serial);
        out.push(ReporterAction::WriteState {
            state: attempt.state.clone(),
            replaces: attempt.replaces.clone(),
        });
        self.access = Some((tenure.term, Access::Write(attempt)));
    }

    fn state_written(
        &mut self,
        now: Time,
        attempt: Attempt,
        result: StateWrite,
        out: &mut Vec<ReporterAction>,
    ) {
        let Some(tenure) = &mut self.tenure else { return };
        match result {
            StateWrite::Done(version) => self.applied(now, attempt, version, out),
            StateWrite::Conflict => tenure.unread = true,
            StateWrite::Unknown => {
                tenure.unread = true;
                tenure.ambiguous = Some(attempt);
                self.delay_access(now);
            }
            StateWrite::Failed => {
                tenure.unread |= tenure.adopted_at.is_none();
                self.delay_access(now);
            }
        }
    }

    /// Takes over a write that is known to be in effect.
    fn applied(
        &mut self,
        now: Time,
        attempt: Attempt,
        version: StateVersion,
        out: &mut Vec<ReporterAction>,
    ) {
        let Some(tenure) = &mut self.tenure else { return };
        let former = tenure.committed.last_frozen;
        let is_open = |window| tenure.committed.reports.iter().any(|it| it.window == window);
        let mut state = attempt.state;
        if tenure.adopted_at.is_some() {
            // A peer may have reported a window meanwhile, or the API accepted an earlier one.
            let known = former.max(self.floor);
            state.reports.retain(|it| Some(it.window) > known || is_open(it.window));
        } else {
            tenure.adopted_at = Some(now);
        }
        if state.last_frozen > self.floor {
            tenure.next_call = tenure.next_call.max(now + self.settings.announce_lead);
        }
        tenure.version = Some(version);
        self.known = self.known.max(Some(state.stamp()));
        let last_frozen = state.last_frozen;
        tenure.committed = state;
        let floor = self.floor;
        out.extend(
            attempt
                .unknown
                .into_iter()
                .filter(|&it| Some(it) > floor)
                .map(|window| ReporterAction::Unknown { window }),
        );
        self.raise_floor(last_frozen);
    }

    fn report_ended(
        &mut self,
        now: Time,
        window: WindowId,
        outcome: CallOutcome,
        out: &mut Vec<ReporterAction>,
    ) {
        let Some((term, report)) = self.call.take_if(|(_, it)| it.window == window) else { return };
        if outcome == CallOutcome::Accepted {
            out.push(ReporterAction::Reported { window, requests: report.requests() });
        }
        let Some(tenure) = &mut self.tenure else { return };
        match outcome {
            CallOutcome::Accepted => {
                tenure.committed.reports.retain(|it| it.window != window);
                tenure.next_call = tenure.next_call.max(now + self.settings.call_interval);
            }
            CallOutcome::Superseded if tenure.term == term => self.give_up(out),
            CallOutcome::Superseded | CallOutcome::Rejected | CallOutcome::Unknown => {
                tenure.next_call = tenure.next_call.max(now + self.settings.retry);
            }
        }
    }

    /// Reads the state if its content isn't known, otherwise freezes the windows that are due.
    fn access_state(&mut self, now: Time, true_time: UnixTime, out: &mut Vec<ReporterAction>) {
        let Some(tenure) = &self.tenure else { return };
        if self.access.is_some() || now >= tenure.until || now < tenure.next_access {
            return;
        }
        // A state that is taken over gets a later stamp than any before. Until the peers were heard, one that the store
        // went back to would pass for the latest.
        if self.started_at.is_none_or(|at| now < at + self.settings.settle) {
            return;
        }
        if tenure.unread {
            out.push(ReporterAction::ReadState);
            self.access = Some((tenure.term, Access::Read));
        } else if let Some(attempt) = self.freeze(now, true_time) {
            self.write(attempt, out);
        }
    }

    /// Returns the write that freezes all windows that are due; `None` if none is.
    fn freeze(&self, now: Time, true_time: UnixTime) -> Option<Attempt> {
        let tenure = self.tenure.as_ref()?;
        if now < tenure.adopted_at? + self.settings.settle {
            return None;
        }
        let current = WindowId::containing(true_time, self.settings.window);
        let first = match tenure.committed.last_frozen.max(self.floor) {
            Some(last) => last.next(),
            // The first report of the deployment.
            None => self.collector.first()?,
        };
        let mut window = first.max(current.back(UsageSettings::MAX_UNKNOWN));
        let mut state = tenure.committed.clone();
        state.serial = tenure.last_serial + 1;
        let mut unknown = Vec::new();
        while state.reports.len() < UsageSettings::MAX_FROZEN && self.is_due(true_time, window) {
            match self.collector.counts(window) {
                Some(counts) => state.reports.push(UsageReport { window, counts }),
                None => unknown.push(window),
            }
            state.last_frozen = Some(window);
            window = window.next();
        }
        let advanced = state.last_frozen > tenure.committed.last_frozen;
        advanced.then(|| Attempt { state, replaces: tenure.version.clone(), unknown })
    }

    fn is_due(&self, true_time: UnixTime, window: WindowId) -> bool {
        let end = window.end(self.settings.window);
        let all_complete = || {
            !self.sources.is_empty()
                && self.sources.iter().all(|&it| self.collector.is_complete(window, it))
        };
        true_time >= end + self.settings.freeze_after || (true_time >= end && all_complete())
    }

    fn send_next(&mut self, now: Time, out: &mut Vec<ReporterAction>) {
        let Some(tenure) = &self.tenure else { return };
        let time_left = now + self.settings.call_timeout < tenure.until;
        if self.call.is_some() || tenure.unread || now < tenure.next_call || !time_left {
            return;
        }
        let Some(report) = tenure.committed.reports.iter().min_by_key(|it| it.window) else {
            return;
        };
        out.push(ReporterAction::SendReport { term: tenure.term, report: report.clone() });
        self.call = Some((tenure.term, report.clone()));
    }
}
