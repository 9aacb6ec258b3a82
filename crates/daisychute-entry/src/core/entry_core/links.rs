//! Handling of agents and the connections to them.

use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, Incarnation, RefusalReason, RequestId, Time};
use daisychute_link::LinkId;
use daisychute_proto::{Hello, Resume};
use daisychute_store::{MemberAction, MemberEvent, MemberState};

use super::EntryCore;
use crate::EndpointSelector;
use crate::core::{Action, LinkEnd, LinkState, RequestState};

impl<C: EndpointSelector> EntryCore<C> {
    /// Passes an event to the membership and performs the actions that it returns.
    pub(super) fn handle_member_event(
        &mut self,
        now: Time,
        event: MemberEvent,
        actions: &mut Vec<Action>,
    ) {
        let mut member_actions = Vec::new();
        self.membership.handle(now, event, &mut member_actions);
        for action in member_actions {
            self.perform_member_action(now, action, actions);
        }
    }

    pub(super) fn perform_member_action(
        &mut self,
        now: Time,
        action: MemberAction,
        actions: &mut Vec<Action>,
    ) {
        match action {
            MemberAction::Connect { endpoint, agent } => {
                if let Some(record) = self.membership.record(&endpoint) {
                    self.agents.upsert(record, agent);
                }
                self.replace_link(now, &endpoint, actions);
            }
            MemberAction::Disconnect { endpoint } => self.disconnect(&endpoint, actions),
            MemberAction::Changed { endpoint, .. } => self.notify_selector(now, &endpoint),
            MemberAction::Removed { endpoint } => {
                self.selector.endpoint_removed(&endpoint);
                self.agents.remove_if_idle(&endpoint);
            }
            MemberAction::WakeAt(at) => self.membership_wake_at = at,
            MemberAction::PartitionSuspected(_) => {}
        }
    }

    /// Opens a new connection to an agent and closes the previous one, if any.
    pub(super) fn replace_link(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        if let Some(link) = self.agents.current_link(endpoint) {
            self.agents.close(link);
            actions.push(Action::Close { link });
            self.suspend_requests(now, endpoint, actions);
        }
        self.connect(endpoint, actions);
    }

    /// Closes the connection to an agent unless requests are assigned to it.
    pub(super) fn disconnect(&mut self, endpoint: &EndpointName, actions: &mut Vec<Action>) {
        let Some(link) = self.agents.current_link(endpoint) else { return };
        if self.agents.get(endpoint).is_some_and(|it| it.requests.is_empty()) {
            self.agents.close(link);
            actions.push(Action::Close { link });
        }
    }

    /// Reports an endpoint to the selector: as updated while it takes work, as removed otherwise.
    pub(super) fn notify_selector(&mut self, now: Time, endpoint: &EndpointName) {
        let state = self.membership.state(endpoint);
        match self.membership.record(endpoint) {
            Some(record) if state.is_some_and(MemberState::takes_work) => {
                self.selector.endpoint_updated(now, record);
            }
            _ => self.selector.endpoint_removed(endpoint),
        }
    }

    /// Handles an endpoint record sent by the agent itself. Its address is replaced by `addr`, by which the agent was
    /// reached.
    pub(super) fn on_record(
        &mut self,
        now: Time,
        addr: SocketAddr,
        record: EndpointRecord,
        actions: &mut Vec<Action>,
    ) {
        let endpoint = record.endpoint.clone();
        let record = EndpointRecord { agent: addr, ..record };
        self.handle_member_event(now, MemberEvent::AgentRecord(record), actions);
        if let Some(record) = self.membership.record(&endpoint) {
            self.agents.upsert(record, addr);
        }
        self.notify_selector(now, &endpoint);
    }

    pub(super) fn on_link_up(
        &mut self,
        now: Time,
        link: LinkId,
        hello: Hello,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.agents.endpoint_of_link(link).cloned() else {
            return actions.push(Action::Close { link });
        };
        let Some(addr) = self.agents.get(&endpoint).map(|it| it.addr) else { return };
        let is_expected_endpoint =
            hello.endpoint.as_ref().is_some_and(|it| it.endpoint == endpoint);
        if is_expected_endpoint {
            self.on_agent_up(now, link, &endpoint, hello.incarnation, actions);
            actions.push(Action::PeerRevisions { link, revisions: hello.revisions });
        } else {
            // Another endpoint is now reached at this address.
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
        let pending: Vec<RequestId> = agent.requests.iter().copied().collect();
        for id in pending {
            self.on_agent_reconnected(now, id, link, incarnation, actions);
        }
    }

    pub(super) fn on_agent_reconnected(
        &mut self,
        now: Time,
        id: RequestId,
        link: LinkId,
        incarnation: Incarnation,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.sent_incarnation {
            None => self.send_start(now, id, link, actions),
            Some(sent_incarnation) if sent_incarnation == incarnation => {
                self.send_resume(id, link, actions)
            }
            // The agent restarted and lost the state of the run.
            Some(_) => self.on_run_lost(now, id, RefusalReason::EndpointLost, actions),
        }
    }

    pub(super) fn send_resume(&mut self, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (attempt, offset, give_up_at) = (request.attempt, request.received, request.give_up_at);
        request.resume_requested = true;
        let frame = Resume { id, attempt, offset, window: request.take_window(self.cfg.window) };
        actions.push(Action::send(link, frame));
        self.transition(id, RequestState::Sent);
        self.set_timer(id, give_up_at);
    }

    pub(super) fn on_link_down(
        &mut self,
        now: Time,
        link: LinkId,
        end: LinkEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(endpoint) = self.agents.close(link) else { return };
        self.handle_member_event(now, MemberEvent::ConnectionLost(endpoint.clone()), actions);
        match end {
            LinkEnd::ConnectionLost => {}
            LinkEnd::AgentTerminated => self.handle_lost_runs(now, &endpoint, actions),
            LinkEnd::AgentShutDown => self.on_agent_left(now, link, &endpoint, actions),
        }
        self.suspend_requests(now, &endpoint, actions);
        let Some(agent) = self.agents.get_mut(&endpoint) else { return };
        if !agent.requests.is_empty() && agent.link == LinkState::Down {
            agent.reconnect_at = Some(now + self.cfg.reconnect_delay);
        }
    }

    /// Treats all requests that were sent to a terminated agent as lost runs.
    pub(super) fn handle_lost_runs(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            if self.requests.get(&id).is_some_and(|it| it.sent_incarnation.is_some()) {
                self.on_run_lost(now, id, RefusalReason::EndpointLost, actions);
            }
        }
    }

    /// Retries the requests elsewhere that an agent which said goodbye on `link` has not run, and treats the others as lost
    /// runs.
    pub(super) fn on_agent_left(
        &mut self,
        now: Time,
        link: LinkId,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            let Some(request) = self.requests.get(&id) else { continue };
            if request.is_unstarted_at_goodbye(link) {
                self.retry_elsewhere(now, id, RefusalReason::Leaving, actions);
            } else {
                self.on_run_lost(now, id, RefusalReason::Leaving, actions);
            }
        }
    }

    /// Makes the requests of an agent that lost its connection wait for a reconnect, or retries them elsewhere if they
    /// were not sent yet.
    pub(super) fn suspend_requests(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        actions: &mut Vec<Action>,
    ) {
        for id in self.requests_at(endpoint) {
            self.on_agent_unreachable(now, id, actions);
        }
    }

    pub(super) fn requests_at(&self, endpoint: &EndpointName) -> Vec<RequestId> {
        self.agents
            .get(endpoint)
            .map(|it| it.requests.iter().copied().collect())
            .unwrap_or_default()
    }

    pub(super) fn on_agent_unreachable(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        match request.state {
            // Nothing was sent: another agent can run it at once.
            RequestState::Connecting => {
                self.retry_elsewhere(now, id, RefusalReason::EndpointLost, actions)
            }
            RequestState::Sent | RequestState::Streaming => {
                self.transition(id, RequestState::Resuming);
                self.set_timer(id, now + self.cfg.resume_timeout);
            }
            RequestState::Resuming => {}
        }
    }
}
