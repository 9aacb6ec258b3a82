//! The agents that the entry knows and its connections to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, LoadReport, RequestId, Time};
use daisychute_link::LinkId;

/// The connection to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// There is none.
    Down,
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
    /// Where it is reached.
    pub addr: SocketAddr,
    /// The connection to it.
    pub link: LinkState,
    /// When a lost connection is opened again, because requests wait for it.
    pub retry: Option<Time>,
    /// Its last load report and when it came.
    pub load: Option<(Time, LoadReport)>,
    /// The requests that this entry has there.
    pub requests: BTreeSet<RequestId>,
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

    /// The connection to the agent before this endpoint, open or being opened.
    #[must_use]
    pub fn any_link(&self, endpoint: &EndpointName) -> Option<LinkId> {
        match self.agents.get(endpoint)?.link {
            LinkState::Up(link) | LinkState::Opening(link) => Some(link),
            LinkState::Down => None,
        }
    }

    /// The open connection to the agent before this endpoint.
    #[must_use]
    pub fn open_link(&self, endpoint: &EndpointName) -> Option<LinkId> {
        match self.agents.get(endpoint)?.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down => None,
        }
    }

    /// All open connections.
    pub fn open_links(&self) -> impl Iterator<Item = LinkId> {
        self.agents.values().filter_map(|it| match it.link {
            LinkState::Up(link) => Some(link),
            LinkState::Opening(_) | LinkState::Down => None,
        })
    }

    /// What is known of an endpoint is new or has changed.
    pub(super) fn know(&mut self, record: &EndpointRecord, addr: SocketAddr) {
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
                    retry: None,
                    load: None,
                    requests: BTreeSet::new(),
                };
                self.agents.insert(record.endpoint.clone(), agent);
            }
        }
    }

    /// Forgets an agent that has neither connection nor requests.
    pub(super) fn forget(&mut self, endpoint: &EndpointName) {
        let is_idle = |it: &Agent| it.link == LinkState::Down && it.requests.is_empty();
        if self.agents.get(endpoint).is_some_and(is_idle) {
            self.agents.remove(endpoint);
        }
    }

    /// Numbers a new connection to an agent that has none.
    pub(super) fn open(&mut self, endpoint: &EndpointName) -> Option<(LinkId, SocketAddr)> {
        let agent = self.agents.get_mut(endpoint)?;
        if agent.link != LinkState::Down {
            return None;
        }
        self.last_link += 1;
        let link = LinkId::new(self.last_link);
        agent.link = LinkState::Opening(link);
        agent.retry = None;
        self.by_link.insert(link, endpoint.clone());
        Some((link, agent.addr))
    }

    /// A connection is gone. Returns the endpoint of its agent.
    pub(super) fn close(&mut self, link: LinkId) -> Option<EndpointName> {
        let endpoint = self.by_link.remove(&link)?;
        if let Some(agent) = self.agents.get_mut(&endpoint) {
            agent.link = LinkState::Down;
        }
        Some(endpoint)
    }

    /// The first time at which a connection is opened again for waiting requests.
    pub(super) fn next_retry(&self) -> Option<Time> {
        self.agents.values().filter_map(|it| it.retry).min()
    }

    /// The agents whose connection is opened again now.
    pub(super) fn due(&self, now: Time) -> Vec<EndpointName> {
        let is_due = |it: &&Agent| it.retry.is_some_and(|retry| retry <= now);
        self.agents.values().filter(is_due).map(|it| it.record.endpoint.clone()).collect()
    }

    pub(super) fn validate(&self) {
        for (link, endpoint) in &self.by_link {
            let state = self.agents[endpoint].link;
            let is_linked = state == LinkState::Up(*link) || state == LinkState::Opening(*link);
            assert!(is_linked, "{link} of {endpoint}");
        }
        let linked = self.agents.values().filter(|it| it.link != LinkState::Down).count();
        assert_eq!(linked, self.by_link.len(), "links");
        let retries = self.agents.values().filter(|it| it.retry.is_some());
        assert!(
            retries.into_iter().all(|it| it.link == LinkState::Down),
            "a retry of an open connection"
        );
    }
}
