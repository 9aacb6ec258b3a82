//! Agents known to the entry and its connections to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, LoadReport, RequestId, Time};
use daisychute_link::LinkId;

/// State of the connection to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// No connection is open or being opened.
    Down,
    /// The shell is opening the connection.
    Opening(LinkId),
    /// The connection is open, and the agent's hello was accepted.
    Up(LinkId),
}

/// What the entry knows about one agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Agent {
    /// Latest record of the agent's endpoint, from the directory or from the agent itself.
    pub record: EndpointRecord,
    /// Address that connections to the agent are opened to.
    pub addr: SocketAddr,
    /// Connection to the agent.
    pub link: LinkState,
    /// When a lost connection is reopened for the requests that wait for it; `None` if no reconnect is scheduled.
    pub reconnect_at: Option<Time>,
    /// Last load report and the time it was received; `None` before the first report.
    pub load: Option<(Time, LoadReport)>,
    /// Open requests of this entry that are assigned to the agent.
    pub requests: BTreeSet<RequestId>,
}

/// Agents known to the entry, indexed by endpoint and by connection.
#[derive(Debug, Clone, Default)]
pub struct Agents {
    agents: BTreeMap<EndpointName, Agent>,
    // Invariant: contains exactly the links of the agents whose state is `Opening` or `Up`.
    by_link: BTreeMap<LinkId, EndpointName>,
    last_link_number: u64,
}

impl Agents {
    /// Iterates over all known agents, ordered by endpoint name.
    pub fn iter(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values()
    }

    /// Returns the agent of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &EndpointName) -> Option<&Agent> {
        self.agents.get(endpoint)
    }

    pub(super) fn get_mut(&mut self, endpoint: &EndpointName) -> Option<&mut Agent> {
        self.agents.get_mut(endpoint)
    }

    /// Returns the endpoint of the agent that a connection leads to; `None` if the connection was closed.
    #[must_use]
    pub fn endpoint_of_link(&self, link: LinkId) -> Option<&EndpointName> {
        self.by_link.get(&link)
    }

    /// Returns the connection to the agent of an endpoint, whether open or being opened.
    #[must_use]
    pub fn current_link(&self, endpoint: &EndpointName) -> Option<LinkId> {
        match self.agents.get(endpoint)?.link {
            LinkState::Up(link) | LinkState::Opening(link) => Some(link),
            LinkState::Down => None,
        }
    }

    /// Returns the connection to the agent of an endpoint if it is open.
    #[must_use]
    pub fn established_link(&self, endpoint: &EndpointName) -> Option<LinkId> {
        match self.agents.get(endpoint)?.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down => None,
        }
    }

    /// Iterates over all open connections.
    pub fn established_links(&self) -> impl Iterator<Item = LinkId> {
        self.agents.values().filter_map(|it| match it.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down => None,
        })
    }

    /// Adds the agent of an endpoint, or updates its record and address.
    pub(super) fn upsert(&mut self, record: &EndpointRecord, addr: SocketAddr) {
        match self.agents.get_mut(&record.endpoint) {
            Some(agent) => {
                agent.record = record.clone();
                agent.addr = addr;
            }
            None => {
                let agent = Agent {
                    record: record.clone(),
                    addr,
                    link: LinkState::Down,
                    reconnect_at: None,
                    load: None,
                    requests: BTreeSet::new(),
                };
                self.agents.insert(record.endpoint.clone(), agent);
            }
        }
    }

    /// Removes an agent that has neither a connection nor requests.
    pub(super) fn remove_if_idle(&mut self, endpoint: &EndpointName) {
        let is_idle = |it: &Agent| it.link == LinkState::Down && it.requests.is_empty();
        if self.agents.get(endpoint).is_some_and(is_idle) {
            self.agents.remove(endpoint);
        }
    }

    /// Marks the connection to an agent as being opened, and assigns it an id. Returns `None` if the agent is unknown
    /// or already has a connection.
    pub(super) fn start_connecting(
        &mut self,
        endpoint: &EndpointName,
    ) -> Option<(LinkId, SocketAddr)> {
        let agent = self.agents.get_mut(endpoint)?;
        if agent.link != LinkState::Down {
            return None;
        }
        self.last_link_number += 1;
        let link = LinkId::new(self.last_link_number);
        agent.link = LinkState::Opening(link);
        agent.reconnect_at = None;
        self.by_link.insert(link, endpoint.clone());
        Some((link, agent.addr))
    }

    /// Marks a connection as down. Returns the endpoint of its agent, or `None` if the connection was already closed.
    pub(super) fn close(&mut self, link: LinkId) -> Option<EndpointName> {
        let endpoint = self.by_link.remove(&link)?;
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.link = LinkState::Down;
        }
        Some(endpoint)
    }

    /// Returns the earliest scheduled reconnect.
    pub(super) fn next_reconnect_at(&self) -> Option<Time> {
        self.agents.values().filter_map(|it| it.reconnect_at).min()
    }

    /// Returns the endpoints whose reconnect is due.
    pub(super) fn due_reconnects(&self, now: Time) -> Vec<EndpointName> {
        let is_due = |it: &&Agent| it.reconnect_at.is_some_and(|reconnect_at| reconnect_at <= now);
        self.agents.values().filter(is_due).map(|it| it.record.endpoint.clone()).collect()
    }

    pub(super) fn validate(&self) {
        for (link, endpoint) in &self.by_link {
            let state = self.agents[endpoint].link;
            let is_current_link =
                state == LinkState::Up(*link) || state == LinkState::Opening(*link);
            assert!(is_current_link, "{link} of {endpoint}");
        }
        let linked = self.agents.values().filter(|it| it.link != LinkState::Down).count();
        assert_eq!(linked, self.by_link.len(), "links");
        let reconnects = self.agents.values().filter(|it| it.reconnect_at.is_some());
        assert!(
            reconnects.into_iter().all(|it| it.link == LinkState::Down),
            "a reconnect is scheduled for an open connection"
        );
    }
}
