//! What the entry's core does about agents and the connections to them.

use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, Incarnation, RefusalReason, RequestId, Time};
use daisychute_link::LinkId;
use daisychute_proto::{Hello, Resume};
use daisychute_store::{MemberAction, MemberEvent, MemberState};

use super::EntryCore;
use crate::EndpointSelector;
use crate::core::{Action, LinkEnd, LinkState, RequestState};

impl<C: EndpointSelector> EntryCore<C> {
    /// Feeds the membership core and does what it asks.
    pub(super) fn member(&mut self, now: Time, event: MemberEvent, actions: &mut Vec<Action>) {
        let mut asked = Vec::new();
        self.membership.handle(now, event, &mut asked);
        for action in asked {
            self.act_for_member(now, action, actions);
        }
    }

    pub(super) fn act_for_member(
        &mut self,
        now: Time,
        action: MemberAction,
        actions: &mut Vec<Action>,
    ) {
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
                self.selector.endpoint_removed(&endpoint);
                self.agents.forget(&endpoint);
            }
            MemberAction::WakeAt(at) => self.member_wake = at,
            MemberAction::PartitionSuspected(_) => {}
        }
    }

    /// Opens a new connection to an agent, in place of the one that is there.
    pub(super) fn replace_link(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        if let Some(link) = self.agents.any_link(endpoint) {
            self.agents.close(link);
            actions.push(Action::Close { link });
            self.hold_requests(now, endpoint, actions);
        }
        self.connect(endpoint, actions);
    }

    /// Closes the connection to an agent unless a request needs it.
    pub(super) fn disconnect(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let Some(link) = self.agents.any_link(endpoint) else { return };
        if self.agents.get(endpoint).is_some_and(|it| it.requests.is_empty()) {
            self.agents.close(link);
            actions.push(Action::Close { link });
        }
    }

    /// Tells the selector what is known of an endpoint.
    pub(super) fn tell_chooser(&mut self, now: Time, endpoint: &EndpointName) {
        let state = self.membership.state(endpoint);
        match self.membership.record(endpoint) {
            Some(record) if state.is_some_and(MemberState::takes_work) => {
                self.selector.endpoint_updated(now, record);
            }
            _ => self.selector.endpoint_removed(endpoint),
        }
    }

    /// An agent has said what its endpoint is. Its address is the one by which it was reached.
    pub(super) fn on_record(
        &mut self,
        now: Time,
        addr: SocketAddr,
        record: EndpointRecord,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = record.endpoint.clone();
        let record = EndpointRecord { agent: addr, ..record };
        self.member(now, MemberEvent::AgentRecord(record), actions);
        if let Some(record) = self.membership.record(&endpoint) {
            self.agents.know(record, addr);
        }
        self.tell_chooser(now, &endpoint);
    }

    pub(super) fn on_link_up(
        &mut self,
        now: Time,
        link: LinkId,
        hello: Hello,
        actions: &mut Vec<Action>,
    ) {
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
            self.on_link_down(now, link, LinkEnd::AgentTerminated, actions);
        }
        if let Some(record) = hello.endpoint {
            self.on_record(now, addr, record, actions);
        }
    }

    pub(super) fn on_agent_up(
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

    pub(super) fn on_agent_back(
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

    pub(super) fn send_resume(&mut self, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (attempt, offset, give_up) = (request.attempt, request.received, request.give_up);
        request.credited = request.taken;
        request.resume_asked = true;
        let frame = Resume { id, attempt, offset, window: self.cfg.window };
        actions.push(Action::send(link, frame));
        self.transition(id, RequestState::Sent);
        self.set_timer(id, give_up);
    }

    pub(super) fn on_link_down(
        &mut self,
        now: Time,
        link: LinkId,
        end: LinkEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.agents.close(link) else { return };
        self.member(now, MemberEvent::ConnectionLost(endpoint.clone()), actions);
        match end {
            LinkEnd::ConnectionLost => {}
            LinkEnd::AgentTerminated => self.lose_requests(now, &endpoint, actions),
            LinkEnd::AgentShutDown => self.take_back_requests(now, &endpoint, actions),
        }
        self.hold_requests(now, &endpoint, actions);
        let Some(agent) = self.agents.get_mut(&endpoint) else { return };
        if !agent.requests.is_empty() && agent.link == LinkState::Down {
            agent.retry = Some(now + self.cfg.reconnect);
        }
    }

    /// Requests at an agent that has ended are lost there.
    pub(super) fn lose_requests(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            if self.requests.get(&id).is_some_and(|it| it.sent_to.is_some()) {
                self.on_lost(now, id, RefusalReason::EndpointLost, actions);
            }
        }
    }

    /// Requests that an agent has not run before it left go elsewhere.
    pub(super) fn take_back_requests(
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
    pub(super) fn hold_requests(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            self.on_agent_away(now, id, actions);
        }
    }

    pub(super) fn requests_at(&self, endpoint: &EndpointName) -> Vec<RequestId> {
        self.agents
            .get(endpoint)
            .map(|it| it.requests.iter().copied().collect())
            .unwrap_or_default()
    }

    pub(super) fn on_agent_away(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
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
}
