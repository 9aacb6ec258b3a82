//! The agents that the entry knows.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{EndpointName, EndpointRecord, EndpointState, LoadReport, RequestId, Time};
use daisychute_link::LinkId;

/// The connection to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// There is none.
    Down {
        /// When it may be opened again.
        retry: Time,
    },
    /// It is being opened.
    Opening(LinkId),
    /// It is open.
    Up(LinkId),
}

/// One agent as the entry knows it.
#[derive(Debug, Clone, PartialEq)]
pub struct Agent {
    /// What is known of its endpoint.
    pub record: EndpointRecord,
    /// The connection to it.
    pub link: LinkState,
    /// Its last load report and when it came.
    pub load: Option<(Time, LoadReport)>,
    /// The requests that this entry has there.
    pub requests: BTreeSet<RequestId>,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether the last connection to it failed or was lost.
    pub unreachable: bool,
    /// Whether its word on its own state is newer than the platform's list.
    pub direct: bool,
}

/// The agents that the entry knows.
#[derive(Debug, Clone, Default)]
pub struct Agents {
    agents: BTreeMap<EndpointName, Agent>,
    // Invariant: holds exactly the links of agents that are opening or up.
    by_link: BTreeMap<LinkId, EndpointName>,
    last_link: u64,
}

impl Agents {
    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// The names of their endpoints.
    pub fn names(&self) -> impl Iterator<Item = &EndpointName> {
        self.agents.keys()
    }

    /// The one before this endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointName) -> Option<&Agent> {
        self.agents.get(endpoint)
    }

    pub(super) fn get_mut(&mut self, endpoint: &EndpointName) -> Option<&mut Agent> {
        self.agents.get_mut(endpoint)
    }

    /// The one at the other end of a connection.
    #[must_use]
    pub fn of_link(&self, link: LinkId) -> Option<&EndpointName> {
        self.by_link.get(&link)
    }

    /// The open connection to the agent before this endpoint.
    #[must_use]
    pub fn open_link(&self, endpoint: &EndpointName) -> Option<LinkId> {
        match self.agents.get(endpoint)?.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down { .. } => None,
        }
    }

    /// All open connections.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> {
        self.agents.values().filter_map(|it| match it.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down { .. } => None,
        })
    }

    /// Numbers a new connection to an agent that has none.
    pub(super) fn open(&mut self, endpoint: &EndpointName) -> Option<LinkId> {
        let agent = self.agents.get_mut(endpoint)?;
        let LinkState::Down { .. } = agent.link else { return None };
        self.last_link += 1;
        let link = LinkId::new(self.last_link);
        agent.link = LinkState::Opening(link);
        self.by_link.insert(link, endpoint.clone());
        Some(link)
    }

    /// A connection is gone. Returns the endpoint of its agent.
    pub(super) fn close(&mut self, link: LinkId, retry: Time) -> Option<EndpointName> {
        let endpoint = self.by_link.remove(&link)?;
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.link = LinkState::Down { retry };
            agent.unreachable = true;
        }
        Some(endpoint)
    }

    /// Takes over the platform's list. What an agent has said of itself stays, unless the list tells of a newer
    /// incarnation. Returns the connections to give up because the agent moved.
    pub(super) fn list(&mut self, now: Time, records: Vec<EndpointRecord>) -> Vec<LinkId> {
        let mut moved = Vec::new();
        for agent in self.agents.values_mut() {
            agent.listed = false;
        }
        for record in records {
            moved.extend(self.list_one(now, record));
        }
        self.agents.retain(|_, it| {
            it.listed || !matches!(it.link, LinkState::Down { .. }) || !it.requests.is_empty()
        });
        moved
    }

    fn list_one(&mut self, now: Time, record: EndpointRecord) -> Option<LinkId> {
        let endpoint = record.endpoint.clone();
        let Some(agent) = self.agents.get_mut(&endpoint) else {
            let link = LinkState::Down { retry: now };
            let agent = Agent {
                record,
                link,
                load: None,
                requests: BTreeSet::new(),
                listed: true,
                unreachable: false,
                direct: false,
            };
            self.agents.insert(endpoint, agent);
            return None;
        };
        agent.listed = true;
        if record.agent != agent.record.agent {
            let link = agent.link;
            agent.record = record;
            agent.direct = false;
            agent.unreachable = false;
            return match link {
                LinkState::Opening(link) | LinkState::Up(link) => Some(link),
                LinkState::Down { .. } => None,
            };
        }
        if !agent.direct || record.incarnation > agent.record.incarnation {
            agent.record =
                EndpointRecord { target: record.target.or(agent.record.target.take()), ..record };
        } else if record.state == EndpointState::Leaving {
            agent.record.state = EndpointState::Leaving;
        }
        None
    }

    /// Takes over what an agent says of itself, unless it comes from an older incarnation.
    pub(super) fn direct(&mut self, endpoint: &EndpointName, record: EndpointRecord) {
        let Some(agent) = self.agents.get_mut(endpoint) else { return };
        if record.incarnation >= agent.record.incarnation && record.endpoint == *endpoint {
            agent.record = EndpointRecord { agent: agent.record.agent, ..record };
            agent.direct = true;
        }
    }

    /// The first time at which a lost connection may be opened again.
    pub(super) fn next_retry(&self) -> Option<Time> {
        self.agents
            .values()
            .filter_map(|it| match it.link {
                LinkState::Down { retry } if it.listed => Some(retry),
                _ => None,
            })
            .min()
    }

    /// The agents whose connection may be opened again now.
    pub(super) fn due(&self, now: Time) -> Vec<EndpointName> {
        let is_due =
            |it: &&Agent| it.listed && matches!(it.link, LinkState::Down { retry } if retry <= now);
        self.agents.values().filter(is_due).map(|it| it.record.endpoint.clone()).collect()
    }

    pub(super) fn validate(&self) {
        for (link, endpoint) in &self.by_link {
            let state = self.agents[endpoint].link;
            assert!(
                state == LinkState::Up(*link) || state == LinkState::Opening(*link),
                "{link} of {endpoint}"
            );
        }
        let linked =
            self.agents.values().filter(|it| !matches!(it.link, LinkState::Down { .. })).count();
        assert_eq!(linked, self.by_link.len(), "links");
    }
}
