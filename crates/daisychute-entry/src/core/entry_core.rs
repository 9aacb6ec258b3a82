//! The entry's state machine.

mod links;
mod responses;
mod shutdown;

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{
    EndpointName, Incarnation, Refusal, RefusalReason, RequestId, Revisions, Time, Verdict,
};
use daisychute_link::LinkId;
use daisychute_proto::{Cancel, Credit, Frame, Heartbeat};
use daisychute_store::{MemberEvent, Membership};

use super::{
    Action, Agents, EntryConfig, Event, Request, RequestState, ResponsePart, RetryBudget,
    Submission, Transition,
};
use crate::EndpointSelector;

/// Decides for every request which endpoint runs it and when it is resumed, retried, continued on another endpoint or
/// refused.
#[derive(Debug)]
pub struct EntryCore<C> {
    cfg: EntryConfig,
    selector: C,
    incarnation: Incarnation,
    last_seq: u64,
    requests: BTreeMap<RequestId, Request>,
    // Invariant: contains `(timer, id)` of each request, and nothing else.
    timers: BTreeSet<(Time, RequestId)>,
    agents: Agents,
    membership: Membership,
    membership_wake_at: Time,
    retry_budget: RetryBudget,
    revisions: Revisions,
    shutting_down: bool,
    /// When open requests are refused or cut because the process shuts down; `None` before that was announced.
    shutdown_deadline: Option<Time>,
    /// Whether the open requests were withdrawn from their agents.
    withdrawn: bool,
    next_heartbeat_at: Time,
    heartbeat_seq: u64,
    transition_log: Option<Vec<(RequestId, Transition)>>,
}

impl<C: EndpointSelector> EntryCore<C> {
    /// Creates the core of a new entry process, without endpoints and requests.
    #[must_use]
    pub fn new(cfg: EntryConfig, selector: C, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            selector,
            incarnation,
            last_seq: 0,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            agents: Agents::default(),
            membership: Membership::new(cfg.membership),
            membership_wake_at: Time::ZERO,
            retry_budget: RetryBudget::default(),
            revisions: Revisions::default(),
            shutting_down: false,
            shutdown_deadline: None,
            withdrawn: false,
            next_heartbeat_at: Time::ZERO,
            heartbeat_seq: 0,
            transition_log: None,
        }
    }

    /// Enables the log of state transitions.
    #[must_use]
    pub fn with_transition_log(mut self) -> Self {
        self.transition_log = Some(Vec::new());
        self
    }

    /// Returns the transitions logged since the last call; empty if the log isn't enabled.
    pub fn take_transitions(&mut self) -> Vec<(RequestId, Transition)> {
        self.transition_log.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Assigns an id to a new request.
    pub fn next_id(&mut self) -> RequestId {
        self.last_seq += 1;
        RequestId::new(self.incarnation, self.last_seq)
    }

    /// Returns the open requests.
    #[must_use]
    pub const fn requests(&self) -> &BTreeMap<RequestId, Request> {
        &self.requests
    }

    /// Returns the known agents.
    #[must_use]
    pub const fn agents(&self) -> &Agents {
        &self.agents
    }

    /// Returns the incarnation of this entry process.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether new requests are refused because the process shuts down.
    #[must_use]
    pub const fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// Whether the requests that were open at the end of a shutdown were refused, cut or cancelled.
    #[must_use]
    pub const fn has_withdrawn(&self) -> bool {
        self.withdrawn
    }

    /// Returns when the shell must report [`Event::Wake`].
    #[must_use]
    pub fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|it| it.0);
        let reconnect = self.agents.next_reconnect_at();
        let shutdown = self.shutdown_deadline.filter(|_| !self.withdrawn);
        let next = self.next_heartbeat_at.min(self.membership_wake_at);
        [timer, reconnect, shutdown].into_iter().flatten().fold(next, Time::min)
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit { id, submission } => self.on_submit(now, id, *submission, actions),
            Event::ClientRead { id, bytes } => self.on_client_read(id, bytes, actions),
            Event::ClientDisconnected { id } => self.on_client_disconnected(id, actions),
            Event::Endpoints(records) => {
                self.handle_member_event(now, MemberEvent::Listed(records), actions)
            }
            Event::LinkUp { link, hello } => self.on_link_up(now, link, *hello, actions),
            Event::LinkDown { link, end } => self.on_link_down(now, link, end, actions),
            Event::Frame { link, frame } => self.on_frame(now, link, *frame, actions),
            Event::Revisions(revisions) => self.revisions = revisions,
            Event::ShutdownAnnounced { deadline } => self.shutdown_deadline = Some(deadline),
            Event::Shutdown => self.shutting_down = true,
            Event::Wake => self.on_wake(now, actions),
        }
    }

    fn on_submit(
        &mut self,
        now: Time,
        id: RequestId,
        submission: Submission,
        actions: &mut Vec<Action>,
    ) {
        if self.shutting_down {
            return self.refuse_new(id, Refusal::not_run(RefusalReason::Leaving), actions);
        }
        let Some(endpoint) = self.select_endpoint(now, &submission, &BTreeSet::new()) else {
            return self.refuse_new(id, Refusal::not_run(RefusalReason::NoEndpoint), actions);
        };
        let request = Request::new(now, submission, endpoint, &self.cfg);
        self.timers.insert((request.timer, id));
        self.requests.insert(id, request);
        self.log_transition(id, None, Some(RequestState::Connecting));
        self.dispatch(now, id, actions);
    }

    fn refuse_new(&self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let refusal = refusal.retry_after(self.cfg.retry_after);
        actions.push(Action::Respond { id, part: ResponsePart::Refused(refusal) });
    }

    fn select_endpoint(
        &mut self,
        now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName> {
        let endpoint = self.selector.select(now, submission, tried)?;
        self.agents.get(&endpoint).map(|_| endpoint)
    }

    /// Sends the current run of a request to its agent, or opens a connection first.
    fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if self.refuse_for_shutdown(now, id, actions) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let endpoint = request.endpoint.clone();
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.requests.insert(id);
        }
        if let Some(link) = self.agents.established_link(&endpoint) {
            return self.send_start(now, id, link, actions);
        }
        self.connect(&endpoint, actions);
        self.set_timer(id, now + self.cfg.connect_timeout);
    }

    fn connect(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        if let Some((link, addr)) = self.agents.start_connecting(endpoint) {
            actions.push(Action::Connect { link, addr });
        }
    }

    fn send_start(&mut self, now: Time, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        if self.refuse_for_shutdown(now, id, actions) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent_incarnation =
            self.agents.get(&request.endpoint).map(|it| it.record.incarnation);
        request.started_on = Some(link);
        let start = request.start(now, id, self.cfg.window);
        let give_up_at = request.give_up_at;
        actions.push(Action::send(link, start));
        self.transition(id, RequestState::Sent);
        self.set_timer(id, give_up_at);
    }

    fn on_client_read(&mut self, id: RequestId, bytes: u64, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.record_read(bytes);
        if request.read_since_credit < u64::from(self.cfg.window / 4) {
            return;
        }
        if let Some(link) = self.agents.established_link(&request.endpoint) {
            let window = request.take_window(self.cfg.window);
            actions.push(Action::send(link, Credit { id, received: request.received, window }));
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.cancel_at_agent(id, actions);
        self.remove(id);
    }

    fn cancel_at_agent(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(link) = self.agents.established_link(&request.endpoint) else { return };
        if request.sent_incarnation.is_some() {
            actions.push(Action::send(link, Cancel { id }));
        }
    }

    fn on_frame(&mut self, now: Time, link: LinkId, frame: Frame, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.agents.endpoint_of_link(link).cloned() else { return };
        self.handle_member_event(now, MemberEvent::AgentHeard(endpoint.clone()), actions);
        match frame {
            Frame::Heartbeat(heartbeat) => {
                self.on_heartbeat(now, link, &endpoint, heartbeat, actions)
            }
            Frame::Head(head) => self.on_head(&endpoint, head, actions),
            Frame::Chunk(chunk) => self.on_chunk(&endpoint, link, &chunk, actions),
            Frame::End(end) => self.on_end(&endpoint, link, &end, actions),
            Frame::Refused(refused) => self.on_refused(now, &endpoint, &refused, actions),
            Frame::Pull(_) | Frame::Document(_) => {
                actions.push(Action::Control { link, frame: Box::new(frame) })
            }
            _ => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Time,
        link: LinkId,
        endpoint: &EndpointName,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let addr = self.agents.get(endpoint).map(|it| it.addr);
        if let (Some(record), Some(addr)) = (heartbeat.endpoint, addr) {
            self.on_record(now, addr, record, actions);
        }
        if let (Some(load), Some(agent)) = (heartbeat.load, self.agents.get_mut(endpoint)) {
            agent.load = Some((now, load));
            self.selector.report(now, endpoint, load);
        }
        actions.push(Action::PeerRevisions { link, revisions: heartbeat.revisions });
    }

    fn on_wake(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.next_heartbeat_at {
            self.send_heartbeats(actions);
            self.next_heartbeat_at = now + self.cfg.heartbeat;
        }
        if self.is_past_shutdown(now) && !self.withdrawn {
            self.withdraw_requests(now, actions);
        }
        while let Some(&(_, id)) = self.timers.first().filter(|it| it.0 <= now) {
            self.on_timer(now, id, actions);
        }
        for endpoint in self.agents.due_reconnects(now) {
            self.connect(&endpoint, actions);
        }
        if now >= self.membership_wake_at {
            self.handle_member_event(now, MemberEvent::Tick, actions);
        }
    }

    fn send_heartbeats(&mut self, actions: &mut Vec<Action>) {
        self.heartbeat_seq += 1;
        let heartbeat = Heartbeat {
            seq: self.heartbeat_seq,
            revisions: self.revisions,
            load: None,
            endpoint: None,
        };
        let links = self.agents.established_links();
        actions.extend(links.map(|link| Action::send(link, heartbeat.clone())));
    }

    fn on_timer(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if now >= request.give_up_at {
            let verdict =
                if request.sent_incarnation.is_some() { Verdict::Unknown } else { Verdict::NotRun };
            self.cancel_at_agent(id, actions);
            let refusal = Refusal { verdict, reason: RefusalReason::Deadline, retry_after: None };
            return self.finish(id, refusal, actions);
        }
        if self.withdrawn {
            return self.finish(id, Refusal::unknown(RefusalReason::Leaving), actions);
        }
        match request.state {
            RequestState::Connecting => {
                self.retry_elsewhere(now, id, RefusalReason::EndpointLost, actions)
            }
            RequestState::Sent | RequestState::Streaming | RequestState::Resuming => {
                self.on_run_lost(now, id, RefusalReason::EndpointLost, actions);
            }
        }
    }

    /// Changes the state of a request. Every transition between two states goes through here.
    fn transition(&mut self, id: RequestId, to: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let from = request.state;
        if from != to {
            request.state = to;
            self.log_transition(id, Some(from), Some(to));
        }
    }

    fn set_timer(&mut self, id: RequestId, at: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.timers.remove(&(request.timer, id));
        request.timer = at.min(request.give_up_at);
        self.timers.insert((request.timer, id));
    }

    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.timer, id));
        if let Some(agent) = self.agents.get_mut(&request.endpoint) {
            agent.requests.remove(&id);
        }
        self.log_transition(id, Some(request.state), None);
    }

    fn log_transition(
        &mut self,
        id: RequestId,
        from: Option<RequestState>,
        to: Option<RequestState>,
    ) {
        if let Some(log) = &mut self.transition_log {
            log.push((id, Transition { from, to }));
        }
    }

    /// Checks that requests, timers and agents are consistent. Meant to be called by tests after each event.
    ///
    /// # Panics
    ///
    /// If they are not.
    pub fn validate(&self) {
        assert_eq!(self.timers.len(), self.requests.len(), "timers");
        for (id, request) in &self.requests {
            assert!(self.timers.contains(&(request.timer, *id)), "timer of {id}");
            assert!(request.client_read <= request.received, "bytes read of {id}");
            let connecting = request.state == RequestState::Connecting;
            assert_eq!(connecting, request.sent_incarnation.is_none(), "state of {id}");
            let is_at_agent =
                self.agents.get(&request.endpoint).is_some_and(|it| it.requests.contains(id));
            assert!(is_at_agent, "agent of {id}");
        }
        let at_agents: usize = self.agents.iter().map(|it| it.requests.len()).sum();
        assert_eq!(at_agents, self.requests.len(), "requests at agents");
        self.agents.validate();
    }
}
