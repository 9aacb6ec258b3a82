//! The entry's core.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use daisychute_core::{
    EndpointName, EndpointRecord, Incarnation, Refusal, RefusalReason, RequestId, Revisions, Time,
    Verdict,
};
use daisychute_link::LinkId;
use daisychute_platform::{MemberAction, MemberEvent, Membership, Standing};
use daisychute_proto::{
    Cancel, Chunk, Credit, End, Frame, Head, Heartbeat, Hello, Refused, Resume,
};

use super::{
    Action, Agents, EntryConfig, Event, LinkEnd, LinkState, Part, Request, RequestState,
    RetryBudget, Submission, Transition,
};
use crate::Choose;

/// Decides what the entry does with every request: which agent gets it, when it is resumed, repeated, continued
/// elsewhere or refused.
#[derive(Debug)]
pub struct EntryCore<C> {
    cfg: EntryConfig,
    chooser: C,
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
    leaving: bool,
    next_heartbeat: Time,
    heartbeats: u64,
    log: Option<Vec<(RequestId, Transition)>>,
}

impl<C: Choose> EntryCore<C> {
    /// The core of an entry.
    #[must_use]
    pub fn new(cfg: EntryConfig, chooser: C, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            chooser,
            incarnation,
            last_seq: 0,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            agents: Agents::default(),
            membership: Membership::new(cfg.membership),
            member_wake: Time::ZERO,
            budget: RetryBudget::default(),
            revisions: Revisions::default(),
            leaving: false,
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
    pub const fn is_leaving(&self) -> bool {
        self.leaving
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
            Event::CallerTook { id, bytes } => self.on_caller_took(id, bytes, actions),
            Event::CallerGone { id } => self.on_caller_gone(id, actions),
            Event::Endpoints(records) => self.member(now, MemberEvent::Listed(records), actions),
            Event::LinkUp { link, hello } => self.on_link_up(now, link, *hello, actions),
            Event::LinkDown { link, end } => self.on_link_down(now, link, end, actions),
            Event::Frame { link, frame } => self.on_frame(now, link, *frame, actions),
            Event::Revisions(revisions) => self.revisions = revisions,
            Event::Leave => self.leaving = true,
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
        if self.leaving {
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
        let chosen = self.chooser.choose(now, submission, tried)?;
        self.agents.get(&chosen).map(|_| chosen)
    }

    /// Feeds the membership core and does what it asks.
    fn member(&mut self, now: Time, event: MemberEvent, actions: &mut Vec<Action>) {
        let mut asked = Vec::new();
        self.membership.handle(now, event, &mut asked);
        for action in asked {
            self.act_for_member(now, action, actions);
        }
    }

    fn act_for_member(&mut self, now: Time, action: MemberAction, actions: &mut Vec<Action>) {
        match action {
            MemberAction::Connect { endpoint, agent } => {
                if let Some(record) = self.membership.record(&endpoint) {
                    self.agents.know(record, agent);
                }
                self.replace_link(now, &endpoint, actions);
            }
            MemberAction::Disconnect { endpoint } => self.disconnect(&endpoint, actions),
            MemberAction::Changed { endpoint, .. } => self.tell_chooser(now, &endpoint),
            MemberAction::Removed { endpoint } => {
                self.chooser.gone(&endpoint);
                self.agents.forget(&endpoint);
            }
            MemberAction::WakeAt(at) => self.member_wake = at,
            MemberAction::CutOff(_) => {}
        }
    }

    /// Opens a new connection to an agent, in place of the one that is there.
    fn replace_link(&mut self, now: Time, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        if let Some(link) = self.agents.any_link(endpoint) {
            self.agents.close(link);
            actions.push(Action::Close { link });
            self.hold_requests(now, endpoint, actions);
        }
        self.connect(endpoint, actions);
    }

    /// Closes the connection to an agent unless a request needs it.
    fn disconnect(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let Some(link) = self.agents.any_link(endpoint) else { return };
        if self.agents.get(endpoint).is_some_and(|it| it.requests.is_empty()) {
            self.agents.close(link);
            actions.push(Action::Close { link });
        }
    }

    /// Tells the chooser what is known of an endpoint.
    fn tell_chooser(&mut self, now: Time, endpoint: &EndpointName) {
        let standing = self.membership.standing(endpoint);
        match self.membership.record(endpoint) {
            Some(record) if standing.is_some_and(Standing::takes_work) => {
                self.chooser.known(now, record);
            }
            _ => self.chooser.gone(endpoint),
        }
    }

    /// An agent has said what its endpoint is. Its address is the one by which it was reached.
    fn on_record(
        &mut self,
        now: Time,
        addr: SocketAddr,
        record: EndpointRecord,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = record.endpoint.clone();
        let record = EndpointRecord { agent: addr, ..record };
        self.member(now, MemberEvent::Direct(record), actions);
        if let Some(record) = self.membership.record(&endpoint) {
            self.agents.know(record, addr);
        }
        self.tell_chooser(now, &endpoint);
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

    fn on_caller_took(&mut self, id: RequestId, bytes: u64, actions: &mut Vec<Action>) {
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

    fn on_caller_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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

    fn on_link_up(&mut self, now: Time, link: LinkId, hello: Hello, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.agents.of_link(link).cloned() else {
            return actions.push(Action::Close { link });
        };
        let Some(addr) = self.agents.get(&endpoint).map(|it| it.addr) else { return };
        let is_it = hello.endpoint.as_ref().is_some_and(|it| it.endpoint == endpoint);
        if is_it {
            self.on_agent_up(now, link, &endpoint, hello.incarnation, actions);
            actions.push(Action::PeerRevisions { link, revisions: hello.revisions });
        } else {
            // Another instance has taken over the address.
            actions.push(Action::Close { link });
            self.on_link_down(now, link, LinkEnd::Gone, actions);
        }
        if let Some(record) = hello.endpoint {
            self.on_record(now, addr, record, actions);
        }
    }

    fn on_agent_up(
        &mut self,
        now: Time,
        link: LinkId,
        endpoint: &EndpointName,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let Some(agent) = self.agents.get_mut(endpoint) else { return };
        agent.link = LinkState::Up(link);
        agent.record.incarnation = incarnation;
        let waiting: Vec<RequestId> = agent.requests.iter().copied().collect();
        for id in waiting {
            self.on_agent_back(now, id, link, incarnation, actions);
        }
    }

    fn on_agent_back(
        &mut self,
        now: Time,
        id: RequestId,
        link: LinkId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.sent_to {
            None => self.send_start(now, id, link, actions),
            Some(sent_to) if sent_to == incarnation => self.send_resume(id, link, actions),
            // The agent that had it is gone, and its memory with it.
            Some(_) => self.on_lost(now, id, RefusalReason::EndpointLost, actions),
        }
    }

    fn send_resume(&mut self, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (attempt, offset, give_up) = (request.attempt, request.received, request.give_up);
        request.credited = request.taken;
        request.resume_asked = true;
        let frame = Resume { id, attempt, offset, window: self.cfg.window };
        actions.push(Action::send(link, frame));
        self.transition(id, RequestState::Sent);
        self.set_timer(id, give_up);
    }

    fn on_link_down(&mut self, now: Time, link: LinkId, end: LinkEnd, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.agents.close(link) else { return };
        self.member(now, MemberEvent::LinkDown(endpoint.clone()), actions);
        match end {
            LinkEnd::Lost => {}
            LinkEnd::Gone => self.lose_requests(now, &endpoint, actions),
            LinkEnd::Left => self.take_back_requests(now, &endpoint, actions),
        }
        self.hold_requests(now, &endpoint, actions);
        let Some(agent) = self.agents.get_mut(&endpoint) else { return };
        if !agent.requests.is_empty() && agent.link == LinkState::Down {
            agent.retry = Some(now + self.cfg.reconnect);
        }
    }

    /// Requests at an agent that has ended are lost there.
    fn lose_requests(&mut self, now: Time, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        for id in self.requests_at(endpoint) {
            if self.requests.get(&id).is_some_and(|it| it.sent_to.is_some()) {
                self.on_lost(now, id, RefusalReason::EndpointLost, actions);
            }
        }
    }

    /// Requests that an agent has not run before it left go elsewhere.
    fn take_back_requests(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            self.elsewhere(now, id, RefusalReason::Leaving, actions);
        }
    }

    /// Requests at an agent without a connection wait for it to come back, or go elsewhere if they were not sent.
    fn hold_requests(&mut self, now: Time, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        for id in self.requests_at(endpoint) {
            self.on_agent_away(now, id, actions);
        }
    }

    fn requests_at(&self, endpoint: &EndpointName) -> Vec<RequestId> {
        self.agents
            .get(endpoint)
            .map(|it| it.requests.iter().copied().collect())
            .unwrap_or_default()
    }

    fn on_agent_away(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.state {
            // Nothing was sent: another agent may have it at once.
            RequestState::Connecting => {
                self.elsewhere(now, id, RefusalReason::EndpointLost, actions)
            }
            RequestState::Sent | RequestState::Streaming => {
                self.transition(id, RequestState::Resuming);
                self.set_timer(id, now + self.cfg.resume);
            }
            RequestState::Resuming => {}
        }
    }

    fn on_frame(&mut self, now: Time, link: LinkId, frame: Frame, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.agents.of_link(link).cloned() else { return };
        self.member(now, MemberEvent::Heard(endpoint.clone()), actions);
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
            self.chooser.report(now, endpoint, load);
        }
        actions.push(Action::PeerRevisions { link, revisions: heartbeat.revisions });
    }

    /// The request that a frame speaks of, if the frame comes from the agent and the run that have it now.
    fn current(
        &mut self,
        endpoint: &EndpointName,
        id: RequestId,
        attempt: u32,
    ) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id)?;
        let is_current =
            request.agent == *endpoint && request.attempt == attempt && request.sent_to.is_some();
        is_current.then_some(request)
    }

    fn on_head(&mut self, endpoint: &EndpointName, head: Head, actions: &mut Vec<Action>) {
        let Some(request) = self.current(endpoint, head.id, head.attempt) else { return };
        request.version = head.version.clone().or(request.version.take());
        request.resume_asked = false;
        let first = !request.head_given;
        request.head_given = true;
        if first {
            let part = Part::Head {
                status: head.status,
                content_type: head.content_type,
                version: head.version,
            };
            actions.push(Action::Answer { id: head.id, part });
        }
        self.transition(head.id, RequestState::Streaming);
    }

    fn on_chunk(
        &mut self,
        endpoint: &EndpointName,
        link: LinkId,
        chunk: &Chunk,
        actions: &mut Vec<Action>,
    ) {
        let most = self.cfg.emitted_bytes;
        let Some(request) = self.current(endpoint, chunk.id, chunk.attempt) else { return };
        if request.state != RequestState::Streaming || chunk.offset > request.received {
            return self.ask_missing(chunk.id, link, actions);
        }
        let known = request.received - chunk.offset;
        if known >= chunk.data.len() as u64 {
            return;
        }
        let data = chunk.data.slice(usize::try_from(known).unwrap_or(usize::MAX)..);
        let tokens = request.emit(&data, chunk.tokens, most);
        actions.push(Action::Answer { id: chunk.id, part: Part::Data { data, tokens } });
    }

    /// Asks once for everything after what is here.
    fn ask_missing(&mut self, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let window = self.cfg.window;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.resume_asked {
            request.resume_asked = true;
            let (attempt, offset) = (request.attempt, request.received);
            actions.push(Action::send(link, Resume { id, attempt, offset, window }));
        }
    }

    fn on_end(
        &mut self,
        endpoint: &EndpointName,
        link: LinkId,
        end: &End,
        actions: &mut Vec<Action>,
    ) {
        let window = self.cfg.window;
        let Some(request) = self.current(endpoint, end.id, end.attempt) else { return };
        let (id, received) = (end.id, request.received);
        if request.state != RequestState::Streaming || received != end.length {
            return self.ask_missing(id, link, actions);
        }
        actions.push(Action::send(link, Credit { id, received, window }));
        actions
            .push(Action::Answer { id, part: Part::End { finish: end.finish, usage: end.usage } });
        self.budget.success();
        self.chooser.succeeded(endpoint);
        self.remove(id);
    }

    fn on_refused(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        refused: &Refused,
        actions: &mut Vec<Action>,
    ) {
        let (id, refusal) = (refused.id, refused.refusal);
        if self.current(endpoint, id, refused.attempt).is_none() {
            return;
        }
        match (refusal.verdict, refusal.reason) {
            (_, RefusalReason::Deadline | RefusalReason::KeyReused | RefusalReason::Cancelled) => {
                self.finish(id, refusal, actions);
            }
            (Verdict::NotRun, _) => self.on_not_run(now, id, refusal, actions),
            (Verdict::Unknown, reason) => self.on_lost(now, id, reason, actions),
        }
    }

    /// The agent has proved that it ran nothing: another one may have it.
    fn on_not_run(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let offers = self.cfg.offers;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if refusal.reason == RefusalReason::Overloaded {
            request.overloads += 1;
            if request.overloads >= offers {
                return self.finish(id, refusal, actions);
            }
        }
        self.elsewhere(now, id, refusal.reason, actions);
    }

    /// The run is lost, and nobody knows how far it came.
    fn on_lost(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.maybe_ran = true;
        self.chooser.failed(now, &request.agent);
        let may_repeat = request.submission.repeatable()
            && (!request.has_emitted() || request.emitted.is_some());
        if !may_repeat {
            return self.finish(id, Refusal::unknown(reason), actions);
        }
        if !self.budget.take() {
            return self.finish(id, Refusal::unknown(RefusalReason::RetryBudget), actions);
        }
        self.elsewhere(now, id, reason, actions);
    }

    /// Runs a request on another endpoint, from what the caller already has. The caller of this method has made sure
    /// that the earlier run did no harm.
    fn elsewhere(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let attempts = self.cfg.attempts;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let refusal = Refusal::not_run(reason);
        if request.attempt >= attempts {
            return self.finish(id, refusal, actions);
        }
        request.tried.insert(request.agent.clone());
        let (submission, tried, previous) =
            (request.submission.clone(), request.tried.clone(), request.agent.clone());
        if let Some(agent) = self.agents.get_mut(&previous) {
            agent.requests.remove(&id);
        }
        let Some(agent) = self.choose(now, &submission, &tried) else {
            return self.finish(id, refusal, actions);
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.next_attempt();
        request.agent = agent;
        self.transition(id, RequestState::Connecting);
        self.dispatch(now, id, actions);
    }

    /// Gives the caller its final answer.
    fn finish(&mut self, id: RequestId, mut refusal: Refusal, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|it| it.maybe_ran || it.has_emitted()) {
            refusal.verdict = Verdict::Unknown;
        }
        let retry_after = refusal.retry_after.unwrap_or(self.cfg.retry_after);
        actions.push(Action::Answer { id, part: Part::Refused(refusal.retry_after(retry_after)) });
        self.remove(id);
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
