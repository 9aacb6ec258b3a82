//! The sans-I/O core of the agent.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{
    EndpointRecord, EndpointState, LoadReport, Refusal, RefusalReason, RequestId, Time, Verdict,
};
use daisychute_link::LinkId;
use daisychute_proto::{
    Frame, Head, Heartbeat, Probe, ProbeAnswer, Refused, Resume, Revisions, Start, Work,
};

use super::job::Ending;
use super::{Action, AgentConfig, EndpointReport, Event, Job, JobState, OutcomeLog, Transition};
use crate::AdmissionPolicy;

/// State machine for all requests at the agent: queues, runs and refuses them, buffers their responses and resumes
/// delivery on another connection.
#[derive(Debug)]
pub struct AgentCore<A> {
    cfg: AgentConfig,
    admission: A,
    record: EndpointRecord,
    revisions: Revisions,
    jobs: BTreeMap<RequestId, Job>,
    // Invariant: one entry for each job, at `Job::timer`.
    timers: BTreeSet<(Time, RequestId)>,
    /// Total response bytes buffered in `jobs`.
    buffered_bytes: usize,
    outcomes: OutcomeLog,
    /// Open connections to entries.
    links: BTreeSet<LinkId>,
    next_heartbeat: Time,
    heartbeats: u64,
    /// When open requests end because the process shuts down; `None` before that was requested.
    shutdown_deadline: Option<Time>,
    transition_log: Option<Vec<(RequestId, Transition)>>,
}

impl<A: AdmissionPolicy> AgentCore<A> {
    /// The core of the agent that serves the endpoint in `record`.
    #[must_use]
    pub fn new(cfg: AgentConfig, admission: A, record: EndpointRecord) -> Self {
        Self {
            cfg,
            admission,
            record,
            revisions: Revisions::default(),
            jobs: BTreeMap::new(),
            timers: BTreeSet::new(),
            buffered_bytes: 0,
            outcomes: OutcomeLog::default(),
            links: BTreeSet::new(),
            next_heartbeat: Time::ZERO,
            heartbeats: 0,
            shutdown_deadline: None,
            transition_log: None,
        }
    }

    /// Enables the transition log, for tests.
    #[must_use]
    pub fn with_transition_log(mut self) -> Self {
        self.transition_log = Some(Vec::new());
        self
    }

    /// Removes and returns the transitions logged so far; empty if the log is disabled.
    pub fn take_transitions(&mut self) -> Vec<(RequestId, Transition)> {
        self.transition_log.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The current record of the endpoint, as reported to the entries.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// All requests at the agent, including ended ones whose outcome is not delivered yet.
    #[must_use]
    pub const fn jobs(&self) -> &BTreeMap<RequestId, Job> {
        &self.jobs
    }

    /// Total response bytes that entries have not acknowledged yet.
    #[must_use]
    pub const fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Number of ended requests whose outcome is still remembered for late or repeated frames.
    #[must_use]
    pub fn outcome_count(&self) -> usize {
        self.outcomes.len()
    }

    /// Number of queued and running requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.jobs.values().filter(|it| it.state != JobState::Ended).count()
    }

    /// The current load of the endpoint.
    pub fn load(&self, now: Time) -> LoadReport {
        self.admission.load(now)
    }

    /// When to send [`Event::Wake`] next.
    #[must_use]
    pub fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|it| it.0);
        let admission = self.admission.wake_at();
        let shutdown = self.shutdown_deadline.filter(|_| self.open_requests() > 0);
        [timer, admission, shutdown].into_iter().flatten().fold(self.next_heartbeat, Time::min)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LinkUp { link } => {
                self.links.insert(link);
                self.send_heartbeat(now, link, actions);
            }
            Event::LinkDown { link } => self.on_link_down(now, link),
            Event::Frame { link, frame } => self.on_frame(now, link, *frame, actions),
            Event::Endpoint { id, attempt, report } => {
                self.on_report(now, id, attempt, report, actions)
            }
            Event::Target(target) => {
                self.admission.endpoint_replaced(target.as_ref().map(|it| it.role));
                self.record.target = target;
                self.announce(now, actions);
            }
            Event::Drain(drain) => self.on_drain(now, drain, actions),
            Event::Shutdown { deadline } => self.on_shutdown(now, deadline, actions),
            Event::Revisions(revisions) => self.revisions = revisions,
            Event::Wake => self.on_wake(now, actions),
        }
        self.run_next(now, actions);
    }

    fn on_frame(&mut self, now: Time, link: LinkId, frame: Frame, actions: &mut Vec<Action>) {
        if !self.links.contains(&link) {
            return;
        }
        match frame {
            Frame::Start(start) => self.on_start(now, link, start, actions),
            Frame::Cancel(cancel) => self.on_cancel(now, cancel.id, actions),
            Frame::Credit(credit) => {
                self.on_credit(now, credit.id, credit.received, credit.window, actions);
            }
            Frame::Resume(resume) => self.on_resume(now, link, &resume, actions),
            Frame::Probe(probe) => self.on_probe(now, link, &probe, actions),
            _ => {}
        }
    }

    /// Detaches the requests of this connection. Their responses are buffered until an entry resumes them.
    fn on_link_down(&mut self, now: Time, link: LinkId) {
        self.links.remove(&link);
        let affected: Vec<RequestId> =
            self.jobs.iter().filter(|it| it.1.link == Some(link)).map(|it| *it.0).collect();
        for id in affected {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.link = None;
            job.abandon_at = job.abandon_at.min(now + self.cfg.orphan_timeout);
            self.reset_timer(id);
        }
    }

    fn on_start(&mut self, now: Time, link: LinkId, start: Start, actions: &mut Vec<Action>) {
        let (id, attempt) = (start.id, start.attempt);
        if self.jobs.contains_key(&id) {
            // A duplicate: the existing job delivers the response.
            return;
        }
        if let Some(refusal) = self.outcomes.get(id, attempt) {
            return actions.push(Action::send(link, Refused { id, attempt, refusal }));
        }
        if let Err(refusal) = self.admit(now, &start) {
            self.outcomes.record_refusal(now, id, attempt, refusal);
            return actions.push(Action::send(link, Refused { id, attempt, refusal }));
        }
        let job = Job::new(now, start, link);
        self.timers.insert((job.timer, id));
        self.jobs.insert(id, job);
        self.log_transition(id, Transition::NewQueued);
    }

    fn admit(&mut self, now: Time, start: &Start) -> Result<(), Refusal> {
        if self.record.state == EndpointState::Leaving {
            return Err(Refusal::not_run(RefusalReason::Leaving));
        }
        if self.buffered_bytes >= self.cfg.max_total_response_bytes {
            return Err(Refusal::not_run(RefusalReason::MemoryBound));
        }
        if !self.serves(&start.work) {
            return Err(Refusal::not_run(RefusalReason::NoEndpoint));
        }
        self.admission.submit(now, start)
    }

    fn serves(&self, work: &Work) -> bool {
        match work {
            Work::Completion(completion) => self.record.target.as_ref().is_some_and(|it| {
                let version = completion.version.as_ref();
                it.model == completion.model
                    && it.adapter == completion.adapter
                    && (version.is_none() || version == Some(&it.version))
            }),
            Work::Call(call) => {
                matches!(&self.record.kind, daisychute_core::EndpointKind::Service(name) if *name == call.service)
            }
        }
    }

    fn on_cancel(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        match self.jobs.get(&id).map(|it| it.state) {
            Some(JobState::Queued) => {
                self.end_queued(now, id, Refusal::not_run(RefusalReason::Cancelled), actions);
            }
            Some(JobState::Running) => {
                self.abort(id, actions);
                self.end_running(
                    now,
                    id,
                    Ending::Refused(Refusal::unknown(RefusalReason::Cancelled)),
                    actions,
                );
            }
            Some(JobState::Ended) => self.forget(now, id),
            None => {}
        }
    }

    /// Cancels a run on the endpoint. A non-repeatable call is not cancelled but runs to its end.
    fn abort(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let must_finish = matches!(&job.start.work, Work::Call(call) if !call.repeatable);
        if !must_finish {
            actions.push(Action::Abort { id, attempt: job.start.attempt });
        }
    }

    fn on_credit(
        &mut self,
        now: Time,
        id: RequestId,
        received: u64,
        window: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.buffered_bytes -= job.buffer.credit(received, window);
        if job.is_delivered(received) {
            self.forget(now, id);
        } else {
            self.send_pending(now, id, actions);
        }
    }

    fn on_resume(&mut self, now: Time, link: LinkId, resume: &Resume, actions: &mut Vec<Action>) {
        let (id, attempt) = (resume.id, resume.attempt);
        let Some(job) = self.jobs.get_mut(&id).filter(|it| it.start.attempt == attempt) else {
            let refusal = self.refuse_missing_run(now, id, attempt);
            return actions.push(Action::send(link, Refused { id, attempt, refusal }));
        };
        let buffered_before = job.buffer.buffered_bytes();
        let is_buffered = job.buffer.rewind(resume.offset, resume.window);
        self.buffered_bytes -= buffered_before - job.buffer.buffered_bytes();
        if !is_buffered {
            let refusal = Refusal::unknown(RefusalReason::EndpointLost);
            return actions.push(Action::send(link, Refused { id, attempt, refusal }));
        }
        job.attach(now, link, self.cfg.outcome_retention);
        self.reset_timer(id);
        self.send_pending(now, id, actions);
    }

    /// The refusal for a resumed run that has no job here. A run without a known outcome is recorded as not run, so
    /// that a late start frame can't run it afterwards.
    fn refuse_missing_run(&mut self, now: Time, id: RequestId, attempt: u32) -> Refusal {
        if let Some(refusal) = self.outcomes.get(id, attempt) {
            return refusal;
        }
        let refusal = Refusal::not_run(RefusalReason::EndpointLost);
        self.outcomes.record_refusal(now, id, attempt, refusal);
        refusal
    }

    fn on_probe(&self, now: Time, link: LinkId, probe: &Probe, actions: &mut Vec<Action>) {
        let load = self.admission.load(now);
        let frame = ProbeAnswer { seq: probe.seq, load, cached_blocks: 0 };
        actions.push(Action::send(link, frame));
    }

    fn on_report(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: u32,
        report: EndpointReport,
        actions: &mut Vec<Action>,
    ) {
        let running = |it: &&mut Job| it.state == JobState::Running && it.start.attempt == attempt;
        let Some(job) = self.jobs.get_mut(&id).filter(running) else { return };
        match report {
            EndpointReport::Head { status, content_type, version } => {
                job.head.get_or_insert(Head {
                    id,
                    attempt,
                    status,
                    content_type,
                    version,
                    replayed: false,
                });
                self.send_pending(now, id, actions);
            }
            EndpointReport::Data { data, tokens } => {
                let is_first = job.buffer.tokens() == 0;
                job.buffer.push(&data, tokens);
                self.buffered_bytes += data.len();
                if tokens > 0 {
                    self.admission.progress(now, id, is_first);
                }
                self.enforce_buffer_limits(now, id, actions);
                self.send_pending(now, id, actions);
            }
            EndpointReport::Finished { finish, usage } => {
                self.end_running(now, id, Ending::Complete { finish, usage }, actions);
            }
            EndpointReport::NotStarted(reason) => {
                self.end_running(now, id, Ending::Refused(Refusal::not_run(reason)), actions);
            }
            EndpointReport::Broken(reason) => self.on_truncated(now, id, reason, actions),
        }
    }

    fn on_truncated(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let max_resumes = self.cfg.max_resumes;
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let resumable = matches!(job.start.work, Work::Completion(_)) && job.head.is_some();
        if resumable && job.resume_count < max_resumes {
            job.resume_count += 1;
            let from_tokens = job.buffer.tokens();
            actions.push(Action::ResumeRun { start: job.start.clone(), from_tokens });
            return;
        }
        self.end_running(now, id, Ending::Refused(Refusal::unknown(reason)), actions);
    }

    fn enforce_buffer_limits(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let exceeded = job.buffer.buffered_bytes() > self.cfg.max_response_bytes
            || self.buffered_bytes > self.cfg.max_total_response_bytes;
        if exceeded && job.state == JobState::Running {
            self.abort(id, actions);
            let refusal = Refusal::unknown(RefusalReason::MemoryBound);
            self.end_running(now, id, Ending::Refused(refusal), actions);
        }
    }

    fn on_drain(&mut self, now: Time, drain: bool, actions: &mut Vec<Action>) {
        let leaving = drain || self.shutdown_deadline.is_some();
        self.record.state = if leaving { EndpointState::Leaving } else { EndpointState::Live };
        self.announce(now, actions);
    }

    fn on_shutdown(&mut self, now: Time, deadline: Time, actions: &mut Vec<Action>) {
        self.shutdown_deadline = Some(deadline);
        self.on_drain(now, true, actions);
        // Other queued requests end by their own deadlines, before the process does.
        self.refuse_queued(now, |job| job.deadline > deadline, actions);
    }

    fn refuse_queued(
        &mut self,
        now: Time,
        filter: impl Fn(&Job) -> bool,
        actions: &mut Vec<Action>,
    ) {
        let refused = |job: &Job| job.state == JobState::Queued && filter(job);
        for id in self.jobs_where(refused) {
            self.end_queued(now, id, Refusal::not_run(RefusalReason::Leaving), actions);
        }
    }

    /// Ends all open requests, so that their entries learn which have not run before the connections close.
    fn end_open_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.refuse_queued(now, |_| true, actions);
        for id in self.jobs_where(|it| it.state == JobState::Running) {
            self.abort(id, actions);
            let refusal = Refusal::unknown(RefusalReason::Leaving);
            self.end_running(now, id, Ending::Refused(refusal), actions);
        }
    }

    fn jobs_where(&self, filter: impl Fn(&Job) -> bool) -> Vec<RequestId> {
        self.jobs.iter().filter(|(_, job)| filter(job)).map(|(id, _)| *id).collect()
    }

    /// Sends a heartbeat with the endpoint's record to every connected entry at once.
    fn announce(&mut self, now: Time, actions: &mut Vec<Action>) {
        for link in self.links.clone() {
            self.send_heartbeat(now, link, actions);
        }
    }

    fn send_heartbeat(&mut self, now: Time, link: LinkId, actions: &mut Vec<Action>) {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            seq: self.heartbeats,
            revisions: self.revisions,
            load: Some(self.admission.load(now)),
            endpoint: Some(self.record.clone()),
        };
        actions.push(Action::send(link, heartbeat));
    }

    fn on_wake(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.shutdown_deadline.is_some_and(|it| it <= now) {
            self.end_open_requests(now, actions);
        }
        if now >= self.next_heartbeat {
            self.announce(now, actions);
            self.next_heartbeat = now + self.cfg.heartbeat_interval;
            self.outcomes.expire(now, self.cfg.outcome_retention);
        }
        while let Some((id, refusal)) = self.admission.next_refusal(now) {
            self.end_queued(now, id, refusal, actions);
        }
        while let Some(&(_, id)) = self.timers.first().filter(|it| it.0 <= now) {
            self.on_timer(now, id, actions);
        }
    }

    fn on_timer(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if now >= job.abandon_at {
            // No entry has resumed the response in time.
            self.on_cancel(now, id, actions);
            self.forget(now, id);
        } else if job.state == JobState::Queued {
            self.end_queued(now, id, Refusal::not_run(RefusalReason::Deadline), actions);
        } else {
            self.abort(id, actions);
            let refusal = Refusal::unknown(RefusalReason::Deadline);
            self.end_running(now, id, Ending::Refused(refusal), actions);
        }
    }

    fn reset_timer(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.timers.remove(&(job.timer, id));
        job.reset_timer();
        self.timers.insert((job.timer, id));
    }

    fn run_next(&mut self, now: Time, actions: &mut Vec<Action>) {
        while let Some(id) = self.admission.next(now) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            job.state = JobState::Running;
            actions.push(Action::Run { start: job.start.clone() });
            self.log_transition(id, Transition::QueuedRunning);
        }
    }

    fn end_queued(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        self.admission.withdraw(now, id);
        self.end(now, id, Ending::Refused(refusal), Transition::QueuedEnded, actions);
    }

    fn end_running(&mut self, now: Time, id: RequestId, ending: Ending, actions: &mut Vec<Action>) {
        self.admission.ended(now, id, matches!(ending, Ending::Complete { .. }));
        self.end(now, id, ending, Transition::RunningEnded, actions);
    }

    fn end(
        &mut self,
        now: Time,
        id: RequestId,
        ending: Ending,
        transition: Transition,
        actions: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.state = JobState::Ended;
        job.ending = Some(ending);
        job.abandon_at = job.abandon_at.min(now + self.cfg.outcome_retention);
        self.reset_timer(id);
        self.log_transition(id, transition);
        self.send_pending(now, id, actions);
    }

    /// Sends all frames of a job that its connection and credit window allow.
    fn send_pending(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(link) = job.link else { return };
        while let Some(frame) = job.next_frame(self.cfg.max_chunk_bytes) {
            let is_refusal = matches!(frame, Frame::Refused(_));
            actions.push(Action::send(link, frame));
            if is_refusal {
                return self.forget(now, id);
            }
        }
    }

    /// Removes a job and records its outcome for late or repeated frames.
    fn forget(&mut self, now: Time, id: RequestId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        self.timers.remove(&(job.timer, id));
        self.buffered_bytes -= job.buffer.buffered_bytes();
        match job.ending {
            Some(Ending::Refused(refusal)) => {
                self.outcomes.record_refusal(now, id, job.start.attempt, refusal)
            }
            _ => self.outcomes.record_delivery(now, id, job.start.attempt),
        }
        self.log_transition(id, Transition::EndedForgotten);
    }

    fn log_transition(&mut self, id: RequestId, transition: Transition) {
        if let Some(log) = &mut self.transition_log {
            log.push((id, transition));
        }
    }

    /// Checks that the indexes are consistent.
    ///
    /// # Panics
    ///
    /// If they are not. Meant for tests, after each event.
    pub fn validate(&self) {
        let buffered_bytes: usize = self.jobs.values().map(|it| it.buffer.buffered_bytes()).sum();
        assert_eq!(buffered_bytes, self.buffered_bytes, "buffered bytes");
        assert_eq!(self.timers.len(), self.jobs.len(), "timers");
        for (id, job) in &self.jobs {
            assert!(self.timers.contains(&(job.timer, *id)), "timer of {id}");
            assert!(job.link.is_none_or(|it| self.links.contains(&it)), "connection of {id}");
            assert_eq!(job.ending.is_some(), job.state == JobState::Ended, "ending of {id}");
            let not_run =
                matches!(job.ending, Some(Ending::Refused(it)) if it.verdict == Verdict::NotRun);
            assert!(
                !(not_run && job.buffer.length() > 0),
                "{id} has output but is refused as not run"
            );
        }
    }
}
