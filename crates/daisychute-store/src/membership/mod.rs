//! Membership: which endpoints get new work, from a lagging list and from direct evidence.
//!
//! What an agent says of itself beats the platform's list, and of two such words that of the later incarnation wins.
//! An agent that is silent is suspected, as in SWIM (A. Das, I. Gupta and A. Motivala, 2002), but only up to a share of
//! all endpoints, as proxies bound the ejection of outliers: where more are silent, the one who hears nothing is more
//! likely the one that is cut off, and goes on with those that it heard last.

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

/// Decision core of membership.
#[derive(Debug, Default)]
pub struct Membership {
    settings: MemberSettings,
    members: BTreeMap<EndpointName, Member>,
    partitioned: bool,
}

impl Membership {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(settings: MemberSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// The endpoints that may get new work.
    pub fn routable(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.members.values().filter(|it| it.state.takes_work()).map(|it| &it.record)
    }

    /// The best evidence of an endpoint.
    #[must_use]
    pub fn record(&self, endpoint: &EndpointName) -> Option<&EndpointRecord> {
        self.members.get(endpoint).map(|it| &it.record)
    }

    /// How an endpoint stands.
    #[must_use]
    pub fn state(&self, endpoint: &EndpointName) -> Option<MemberState> {
        self.members.get(endpoint).map(|it| it.state)
    }

    /// Whether this process is probably cut off.
    #[must_use]
    pub fn is_partitioned(&self) -> bool {
        self.partitioned
    }

    /// Takes one event.
    pub fn handle(&mut self, now: Time, event: MemberEvent, out: &mut Vec<MemberAction>) {
        if self.confirms(now, &event) {
            return;
        }
        match event {
            MemberEvent::Listed(records) => self.listed(now, records, out),
            MemberEvent::AgentRecord(record) => self.direct(now, record, out),
            MemberEvent::AgentHeard(endpoint) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.hear(now);
                }
            }
            MemberEvent::ConnectionLost(endpoint) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.link_down = true;
                }
            }
            MemberEvent::Tick => {}
        }
        self.forget(now, out);
        self.replace_connections(now, out);
        self.judge(now, out);
        self.ask_to_be_woken(now, out);
    }

    /// Takes an event that only says that a live endpoint is still as it was. That is by far the most frequent one, and
    /// nothing else depends on it.
    fn confirms(&mut self, now: Time, event: &MemberEvent) -> bool {
        let (endpoint, record) = match event {
            MemberEvent::AgentHeard(endpoint) => (endpoint, None),
            MemberEvent::AgentRecord(record) => (&record.endpoint, Some(record)),
            _ => return false,
        };
        let Some(member) = self.members.get_mut(endpoint) else { return false };
        let is_same = record.is_none_or(|it| member.direct && *it == member.record);
        if member.state != MemberState::Live || member.link_down || !is_same {
            return false;
        }
        member.hear(now);
        true
    }

    fn listed(&mut self, now: Time, records: Vec<EndpointRecord>, out: &mut Vec<MemberAction>) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        for record in records {
            self.listed_one(now, record, out);
        }
    }

    fn listed_one(&mut self, now: Time, record: EndpointRecord, out: &mut Vec<MemberAction>) {
        let settings = self.settings;
        let misplaced = self.members.get(&record.endpoint).is_some_and(|it| it.misplaced);
        let given_back = misplaced && !self.is_owned_by_another(&record);
        let Some(member) = self.members.get_mut(&record.endpoint) else {
            return self.join(now, record, out);
        };
        member.listed = true;
        let fresh = member.direct && !member.misplaced && !member.is_silent(now, &settings);
        if member.record.instance != record.instance {
            if !fresh || member.is_leaving() {
                self.join(now, record, out);
            }
            return;
        }
        member.listed_leaving = record.state == EndpointState::Leaving;
        let moved = !fresh && member.record.agent != record.agent;
        if moved || given_back {
            self.join(now, record, out);
        }
    }

    /// Whether the agent of another endpoint said that it is at the address in this record.
    fn is_owned_by_another(&self, record: &EndpointRecord) -> bool {
        self.members.iter().any(|(endpoint, it)| {
            it.direct && it.record.agent == record.agent && *endpoint != record.endpoint
        })
    }

    /// Starts afresh with a listed instance at a listed address.
    fn join(&mut self, now: Time, record: EndpointRecord, out: &mut Vec<MemberAction>) {
        let endpoint = record.endpoint.clone();
        let agent = record.agent;
        let mut member = Member::new(now, record);
        member.listed = true;
        member.listed_leaving = member.record.state == EndpointState::Leaving;
        if let Some(before) = self.members.get(&endpoint) {
            member.state = before.state;
        }
        self.members.insert(endpoint.clone(), member);
        out.push(MemberAction::Connect { endpoint, agent });
    }

    fn direct(&mut self, now: Time, record: EndpointRecord, out: &mut Vec<MemberAction>) {
        let endpoint = record.endpoint.clone();
        let agent = record.agent;
        let member = self
            .members
            .entry(endpoint.clone())
            .or_insert_with(|| Member::new(now, record.clone()));
        if member.direct(now, record) {
            self.take_address(&endpoint, agent, out);
        }
    }

    /// The agent of one endpoint answers at an address, so that of no other does.
    fn take_address(
        &mut self,
        owner: &EndpointName,
        agent: SocketAddr,
        out: &mut Vec<MemberAction>,
    ) {
        for (endpoint, member) in &mut self.members {
            if endpoint != owner && member.record.agent == agent && !member.misplaced {
                member.misplaced = true;
                member.heard = None;
                out.push(MemberAction::Disconnect { endpoint: endpoint.clone() });
            }
        }
    }

    fn forget(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        let settings = self.settings;
        self.members.retain(|endpoint, member| {
            let forgotten = member.is_forgotten(now, &settings);
            if forgotten {
                out.push(MemberAction::Disconnect { endpoint: endpoint.clone() });
                out.push(MemberAction::Removed { endpoint: endpoint.clone() });
            }
            !forgotten
        });
    }

    fn replace_connections(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        for (endpoint, member) in &mut self.members {
            if member.needs_connection(now, &self.settings) {
                member.connected_at = now;
                let agent = member.record.agent;
                out.push(MemberAction::Connect { endpoint: endpoint.clone(), agent });
            }
        }
    }

    /// Decides how every endpoint stands.
    fn judge(&mut self, now: Time, out: &mut Vec<MemberAction>) {
        let retained = self.retained(now);
        let partitioned = !retained.is_empty();
        for (endpoint, member) in &mut self.members {
            let state = stand(member, now, &self.settings, retained.contains(endpoint));
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

    /// The silent endpoints beyond the share that may be suspect: those that were heard last.
    fn retained(&self, now: Time) -> Vec<EndpointName> {
        let candidates = self.members.iter().filter(|it| it.1.is_candidate());
        let count = candidates.clone().count();
        let allowed = (count * self.settings.max_suspect_percent / 100).max(1);
        let mut silent: Vec<_> =
            candidates.filter(|it| it.1.is_silent(now, &self.settings)).collect();
        silent.sort_by_key(|it| (Reverse(it.1.heard), it.0));
        let excess = silent.len().saturating_sub(allowed);
        silent.into_iter().take(excess).map(|it| it.0.clone()).collect()
    }

    fn ask_to_be_woken(&self, now: Time, out: &mut Vec<MemberAction>) {
        let spans = [self.settings.silence, self.settings.suspect_after];
        let due = self.members.values().flat_map(|member| {
            let last = member.heard.unwrap_or(member.since);
            let spans = spans.map(|it| last + it);
            spans.into_iter().chain([member.connected_at + self.settings.silence])
        });
        let next = due.filter(|it| *it > now).min();
        out.push(MemberAction::WakeAt(next.unwrap_or(now + IDLE_INTERVAL)));
    }
}

/// How often the core is woken while nothing is due.
const IDLE_INTERVAL: Duration = Duration::from_secs(5);

fn stand(member: &Member, now: Time, settings: &MemberSettings, retained: bool) -> MemberState {
    if member.is_leaving() {
        MemberState::Leaving
    } else if member.heard.is_none() || member.misplaced {
        MemberState::Unconfirmed
    } else if !member.is_silent(now, settings) {
        MemberState::Live
    } else if retained {
        MemberState::Retained
    } else {
        MemberState::Suspect
    }
}
