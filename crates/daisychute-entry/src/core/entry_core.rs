//! The entry's core.

mod answers;
mod links;

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{
    EndpointName, Incarnation, Refusal, RefusalReason, RequestId, Revisions, Time, Verdict,
};
use daisychute_link::LinkId;
use daisychute_proto::{Cancel, Credit, Frame, Heartbeat};
use daisychute_store::{MemberEvent, Membership};

use super::{
    Action, Agents, EntryConfig, Event, Part, Request, RequestState, RetryBudget, Submission,
    Transition,
};
use crate::EndpointSelector;

/// Decides what the entry does with every request: which agent gets it, when it is resumed, repeated, continued
/// elsewhere or refused.
#[derive(Debug)]
pub struct EntryCore<C> {
    cfg: EntryConfig,
    selector: C,
    incarnation: Incarnation,
    last_seq: u64,
    requests: BTreeMap<RequestId, Request>,
    // Invariant: one entry for each request.
    timers: BTreeSet<(Time, RequestId)>,
    agents: Agents,
    membership: Membership,
    member_wake: Time,
    budget: RetryBudget,
    revisions: Revisions,
    shutting_down: bool,
    next_heartbeat: Time,
    heartbeats: u64,
    log: Option<Vec<(RequestId, Transition)>>,
}

impl<C: EndpointSelector> EntryCore<C> {
    /// The core of an entry.
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
            member_wake: Time::ZERO,
            budget: RetryBudget::default(),
            revisions: Revisions::default(),
            shutting_down: false,
            next_heartbeat: Time::ZERO,
            heartbeats: 0,
            log: None,
        }
    }

    /// Keeps a log of all transitions.
    #[must_use]
    pub fn with_transition_log(mut self) -> Self {
        self.log = Some(Vec::new());
        self
    }

    /// Takes the transitions logged so far.
    pub fn take_transitions(&mut self) -> Vec<(RequestId, Transition)> {
        self.log.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// The id of the next request.
    pub fn next_id(&mut self) -> RequestId {
        self.last_seq += 1;
        RequestId::new(self.incarnation, self.last_seq)
    }

    /// The requests that have no final answer yet.
    #[must_use]
    pub const fn requests(&self) -> &BTreeMap<RequestId, Request> {
        &self.requests
    }

    /// The agents that the entry knows.
    #[must_use]
    pub const fn agents(&self) -> &Agents {
        &self.agents
    }

    /// The incarnation of this entry.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether it takes no new requests.
    #[must_use]
    pub const fn is_shutting_down(&self) -> bool {
        self.shutting_down
    }

    /// When [`Event::Wake`] is due.
    #[must_use]
    pub fn wake_at(&self) -> Time {
        let timer = self.timers.first().map(|it| it.0);
        let retry = self.agents.next_retry();
        let next = self.next_heartbeat.min(self.member_wake);
        [timer, retry].into_iter().flatten().fold(next, Time::min)
    }

    /// Takes one event and adds what must be done to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Submit { id, submission } => self.on_submit(now, id, *submission, actions),
            Event::ClientRead { id, bytes } => self.on_client_read(id, bytes, actions),
            Event::ClientDisconnected { id } => self.on_client_disconnected(id, actions),
            Event::Endpoints(records) => self.member(now, MemberEvent::Listed(records), actions),
            Event::LinkUp { link, hello } => self.on_link_up(now, link, *hello, actions),
            Event::LinkDown { link, end } => self.on_link_down(now, link, end, actions),
            Event::Frame { link, frame } => self.on_frame(now, link, *frame, actions),
            Event::Revisions(revisions) => self.revisions = revisions,
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
        let Some(agent) = self.choose(now, &submission, &BTreeSet::new()) else {
            return self.refuse_new(id, Refusal::not_run(RefusalReason::NoEndpoint), actions);
        };
        let request = Request::new(now, submission, agent, &self.cfg);
        self.timers.insert((request.timer, id));
        self.requests.insert(id, request);
        self.note(id, None, Some(RequestState::Connecting));
        self.dispatch(now, id, actions);
    }

    fn refuse_new(&self, id: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
        let refusal = refusal.retry_after(self.cfg.retry_after);
        actions.push(Action::Answer { id, part: Part::Refused(refusal) });
    }

    fn choose(
        &mut self,
        now: Time,
        submission: &Submission,
        tried: &BTreeSet<EndpointName>,
    ) -> Option<EndpointName> {
        let chosen = self.selector.choose(now, submission, tried)?;
        self.agents.get(&chosen).map(|_| chosen)
    }

    /// Sends the present run of a request to its agent, or opens the connection first.
    fn dispatch(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let endpoint = request.agent.clone();
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.requests.insert(id);
        }
        if let Some(link) = self.agents.open_link(&endpoint) {
            return self.send_start(now, id, link, actions);
        }
        self.connect(&endpoint, actions);
        self.set_timer(id, now + self.cfg.connect);
    }

    fn connect(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        if let Some((link, addr)) = self.agents.open(endpoint) {
            actions.push(Action::Connect { link, addr });
        }
    }

    fn send_start(&mut self, now: Time, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent_to = self.agents.get(&request.agent).map(|it| it.record.incarnation);
        let start = request.start(now, id, self.cfg.window);
        let give_up = request.give_up;
        actions.push(Action::send(link, start));
        self.transition(id, RequestState::Sent);
        self.set_timer(id, give_up);
    }

    fn on_client_read(&mut self, id: RequestId, bytes: u64, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.taken = (request.taken + bytes).min(request.received);
        let owed = request.taken - request.credited;
        if owed < u64::from(self.cfg.window / 4) {
            return;
        }
        request.credited = request.taken;
        let frame = Credit { id, received: request.taken, window: self.cfg.window };
        if let Some(link) = self.agents.open_link(&request.agent) {
            actions.push(Action::send(link, frame));
        }
    }

    fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.cancel_at_agent(id, actions);
        self.remove(id);
    }

    fn cancel_at_agent(&self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(link) = self.agents.open_link(&request.agent) else { return };
        if request.sent_to.is_some() {
            actions.push(Action::send(link, Cancel { id }));
        }
    }

    fn on_frame(&mut self, now: Time, link: LinkId, frame: Frame, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.agents.of_link(link).cloned() else { return };
        self.member(now, MemberEvent::AgentHeard(endpoint.clone()), actions);
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
        if now >= self.next_heartbeat {
            self.send_heartbeats(actions);
            self.next_heartbeat = now + self.cfg.heartbeat;
        }
        while let Some(&(_, id)) = self.timers.first().filter(|it| it.0 <= now) {
            self.on_timer(now, id, actions);
        }
        for endpoint in self.agents.due(now) {
            self.connect(&endpoint, actions);
        }
        if now >= self.member_wake {
            self.member(now, MemberEvent::Tick, actions);
        }
    }

    fn send_heartbeats(&mut self, actions: &mut Vec<Action>) {
        self.heartbeats += 1;
        let heartbeat = Heartbeat {
            seq: self.heartbeats,
            revisions: self.revisions,
            load: None,
            endpoint: None,
        };
        let links = self.agents.open_links();
        actions.extend(links.map(|link| Action::send(link, heartbeat.clone())));
    }

    fn on_timer(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if now >= request.give_up {
            let verdict =
                if request.sent_to.is_some() { Verdict::Unknown } else { Verdict::NotRun };
            self.cancel_at_agent(id, actions);
            let refusal = Refusal { verdict, reason: RefusalReason::Deadline, retry_after: None };
            return self.finish(id, refusal, actions);
        }
        match request.state {
            RequestState::Connecting => {
                self.elsewhere(now, id, RefusalReason::EndpointLost, actions)
            }
            RequestState::Sent | RequestState::Streaming | RequestState::Resuming => {
                self.on_lost(now, id, RefusalReason::EndpointLost, actions);
            }
        }
    }

    /// Moves a request to another state. Every transition goes through here.
    fn transition(&mut self, id: RequestId, to: RequestState) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let from = request.state;
        if from != to {
            request.state = to;
            self.note(id, Some(from), Some(to));
        }
    }

    fn set_timer(&mut self, id: RequestId, at: Time) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.timers.remove(&(request.timer, id));
        request.timer = at.min(request.give_up);
        self.timers.insert((request.timer, id));
    }

    fn remove(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.timers.remove(&(request.timer, id));
        if let Some(agent) = self.agents.get_mut(&request.agent) {
            agent.requests.remove(&id);
        }
        self.note(id, Some(request.state), None);
    }

    fn note(&mut self, id: RequestId, from: Option<RequestState>, to: Option<RequestState>) {
        if let Some(log) = &mut self.log {
            log.push((id, Transition { from, to }));
        }
    }

    /// Checks that the indexes agree with each other.
    ///
    /// # Panics
    ///
    /// If they don't. Meant for tests, after each event.
    pub fn validate(&self) {
        assert_eq!(self.timers.len(), self.requests.len(), "timers");
        for (id, request) in &self.requests {
            assert!(self.timers.contains(&(request.timer, *id)), "timer of {id}");
            assert!(request.taken <= request.received, "bytes taken of {id}");
            let connecting = request.state == RequestState::Connecting;
            assert_eq!(connecting, request.sent_to.is_none(), "state of {id}");
            let known = self.agents.get(&request.agent).is_some_and(|it| it.requests.contains(id));
            assert!(known, "agent of {id}");
        }
        let at_agents: usize = self.agents.iter().map(|it| it.requests.len()).sum();
        assert_eq!(at_agents, self.requests.len(), "requests at agents");
        self.agents.validate();
    }
}
