//! Membership: which endpoints get new work, based on the platform's lagging list and on the agents' own records.
//!
//! An agent's own record takes precedence over the platform's list, and the record of a later incarnation over that of
//! an earlier one. An unresponsive agent is suspected, as in SWIM (A. Das, I. Gupta and A. Motivala, 2002), but only up
//! to a share of all endpoints, as proxies limit outlier ejection: if more agents are unresponsive, this process is
//! more likely partitioned from them, and it keeps using those that it heard from last.

mod event;
mod member;
mod settings;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EndpointName, EndpointRecord, EndpointState, Time};

use self::member::Member;

pub use self::event::{MemberAction, MemberEvent, MemberState};
pub use self::settings::MemberSettings;

/// Sans-I/O core of membership.
#[derive(Debug, Default)]
pub struct Membership {
    settings: MemberSettings,
    members: BTreeMap<EndpointName, Member>,
    partitioned: bool,
}

impl Membership {
    /// A membership that knows no endpoints yet.
    #[must_use]
    pub fn new(settings: MemberSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records of the endpoints that may get new work.
    pub fn routable(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.members.values().filter(|it| it.state.takes_work()).map(|it| &it.record)
    }

    /// The most reliable record of an endpoint: its agent's own, else the listed one. `None` if the endpoint is
    /// unknown.
    #[must_use]
    pub fn record(&self, endpoint: &EndpointName) -> Option<&EndpointRecord> {
        self.members.get(endpoint).map(|it| &it.record)
    }

    /// State of an endpoint; `None` if the endpoint is unknown.
    #[must_use]
    pub fn state(&self, endpoint: &EndpointName) -> Option<MemberState> {
        self.members.get(endpoint).map(|it| it.state)
    }

    /// Whether so many agents are unresponsive that a network partition is suspected.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.partitioned
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: MemberEvent, out: &mut Vec<MemberAction>) {
        if self.handle_confirmation(now, &event) {
            return;
        }
        match event {
            MemberEvent::Listed(records) => self.handle_list(now, records, out),
            MemberEvent::AgentRecord(record) => self.handle_agent_record(now, record, out),
            MemberEvent::AgentHeard(endpoint) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.record_contact(now);
                }
            }
            MemberEvent::ConnectionLost(endpoint) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.connection_lost = true;
                }
            }
            MemberEvent::Tick => {}
        }
        self.remove_expired(now, out);
        self.replace_connections(now, out);
        self.update_states(now, out);
        self.schedule_wake(now, out);
    }

    /// Handles an event that only confirms an unchanged live endpoint, and returns whether it was one. These events are
    /// by far the most frequent, and no other state depends on them.
    fn handle_confirmation(&mut self, now: Time, event: &MemberEvent) -> bool {
        let (endpoint, record) = match event {
            MemberEvent::AgentHeard(endpoint) => (endpoint, None),
            MemberEvent::AgentRecord(record) => (&record.endpoint, Some(record)),
            _ => return false,
        };
        let Some(member) = self.members.get_mut(endpoint) else { return false };
        let is_unchanged = record.is_none_or(|it| member.from_agent && *it == member.record);
        if member.state != MemberState::Live || member.connection_lost || !is_unchanged {
            return false;
        }
        member.record_contact(now);
        true
    }

    fn handle_list(
        &mut self,
        now: Time,
        records: Vec<EndpointRecord>,
        out: &mut Vec<MemberAction>,
    ) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for record in records {
            self.apply_listed(now, record, out);
        }
    }

    fn apply_listed(&mut self, now: Time, record: EndpointRecord, out: &mut Vec<MemberAction>) {
        let settings = self.settings;
        let address_mismatch =
            self.members.get(&record.endpoint).is_some_and(|it| it.address_mismatch);
        let address_released = address_mismatch && !self.is_owned_by_another(&record);
        let Some(member) = self.members.get_mut(&record.endpoint) else {
            return self.register(now, record, out);
        };
        member.listed = true;
        let agent_trusted = member.from_agent
            && !member.address_mismatch
            && !member.is_unresponsive(now, &settings);
        if member.record.instance != record.instance {
            if !agent_trusted || member.is_leaving() {
                self.register(now, record, out);
            }
            return;
        }
        member.listed_as_leaving = record.state == EndpointState::Leaving;
        let moved = !agent_trusted && member.record.agent != record.agent;
        if moved || address_released {
            self.register(now, record, out);
        }
    }

    /// Whether the agent of another endpoint has claimed the address in this record.
    fn is_owned_by_another(&self, record: &EndpointRecord) -> bool {
        self.members.iter().any(|(endpoint, it)| {
            it.from_agent && it.record.agent == record.agent && *endpoint != record.endpoint
        })
    }

    /// Replaces what is known of an endpoint by its listed record and connects to the listed address. The endpoint
    /// keeps its state until states are next updated.
    fn register(&mut self, now: Time, record: EndpointRecord, out: &mut Vec<MemberAction>) {
        let endpoint = record.endpoint.clone();
        let agent = record.agent;
        let mut member = Member::new(now, record);
        member.listed = true;
        member.listed_as_leaving = member.record.state == EndpointState::Leaving;
        if let Some(previous) = self.members.get(&endpoint) {
            member.state = previous.state;
        }
        self.members.insert(endpoint.clone(), member);
        out.push(MemberAction::Connect { endpoint, agent });
    }

    fn handle_agent_record(
        &mut self,
        now: Time,
        record: EndpointRecord,
        out: &mut Vec<MemberAction>,
    ) {
        let endpoint = record.endpoint.clone();
        let agent = record.agent;
        let member = self
            .members
            .entry(endpoint.clone())
            .or_insert_with(|| Member::new(now, record.clone()));
        if member.apply_agent_record(now, record) {
            self.claim_address(&endpoint, agent, out);
        }
    }

    /// The agent of `owner` answers at this address, so no other endpoint can be reached there.
    fn claim_address(
        &mut self,
        owner: &EndpointName,
        agent: SocketAddr,
        out: &mut Vec<MemberAction>,
    ) {
        for (endpoint, member) in &mut self.members {
            if endpoint != owner && member.record.agent == agent && !member.address_mismatch {
                member.address_mismatch = true;
                member.last_contact = None;
                out.push(MemberAction::Disconnect { endpoint: endpoint.clone() });
            }
        }
    }

    fn remove_expired(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        let settings = self.settings;
        self.members.retain(|endpoint, member| {
            let expired = member.is_expired(now, &settings);
            if expired {
                out.push(MemberAction::Disconnect { endpoint: endpoint.clone() });
                out.push(MemberAction::Removed { endpoint: endpoint.clone() });
            }
            !expired
        });
    }

    fn replace_connections(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        for (endpoint, member) in &mut self.members {
            if member.needs_reconnect(now, &self.settings) {
                member.connected_at = now;
                let agent = member.record.agent;
                out.push(MemberAction::Connect { endpoint: endpoint.clone(), agent });
            }
        }
    }

    /// Recomputes the state of every endpoint and whether a partition is suspected.
    fn update_states(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        let retained = self.retained_endpoints(now);
        let partitioned = !retained.is_empty();
        for (endpoint, member) in &mut self.members {
            let state = member_state(member, now, &self.settings, retained.contains(endpoint));
            if member.state != state {
                member.state = state;
                out.push(MemberAction::Changed { endpoint: endpoint.clone(), state });
            }
        }
        if self.partitioned != partitioned {
            self.partitioned = partitioned;
            out.push(MemberAction::PartitionSuspected(partitioned));
        }
    }

    /// Unresponsive endpoints in excess of the share that may be suspect. Those heard from last are retained.
    fn retained_endpoints(&self, now: Time) -> Vec<EndpointName> {
        let candidates = self.members.iter().filter(|it| it.1.is_candidate());
        let count = candidates.clone().count();
        let allowed = (count * self.settings.max_suspect_percent / 100).max(1);
        let mut unresponsive: Vec<_> =
            candidates.filter(|it| it.1.is_unresponsive(now, &self.settings)).collect();
        unresponsive.sort_by_key(|it| (Reverse(it.1.last_contact), it.0));
        let excess = unresponsive.len().saturating_sub(allowed);
        unresponsive.into_iter().take(excess).map(|it| it.0.clone()).collect()
    }

    fn schedule_wake(&self, now: Time, out: &mut Vec<MemberAction>) {
        let timeouts = [self.settings.reconnect_after, self.settings.suspect_after];
        let deadlines = self.members.values().flat_map(|member| {
            let last_sign = member.last_contact.unwrap_or(member.first_seen);
            let timeouts = timeouts.map(|it| last_sign + it);
            timeouts.into_iter().chain([member.connected_at + self.settings.reconnect_after])
        });
        let next = deadlines.filter(|it| *it > now).min();
        out.push(MemberAction::WakeAt(next.unwrap_or(now + IDLE_INTERVAL)));
    }
}

/// Wake-up interval if no timeout is pending.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

fn member_state(
    member: &Member,
    now: Time,
    settings: &MemberSettings,
    retained: bool,
) -> MemberState {
    if member.is_leaving() {
        MemberState::Leaving
    } else if member.last_contact.is_none() || member.address_mismatch {
        MemberState::Unconfirmed
    } else if !member.is_unresponsive(now, settings) {
        MemberState::Live
    } else if retained {
        MemberState::Retained
    } else {
        MemberState::Suspect
    }
}
