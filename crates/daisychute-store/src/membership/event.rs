//! Events and actions of the membership core.

use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, Time};

/// State of an endpoint as seen by this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// No agent of this endpoint has been heard from at its address, so it gets no work yet.
    Unconfirmed,
    /// Its agent responds; it gets new work.
    Live,
    /// It drains: it finishes the work in flight and gets no new work.
    Leaving,
    /// Its agent is unresponsive, so it gets no new work.
    Suspect,
    /// Its agent is unresponsive, but so are so many that this process is probably partitioned. It still gets new work.
    Retained,
}

impl MemberState {
    /// Whether an endpoint in this state gets new work.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Retained)
    }
}

/// Input of the membership core.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// The platform's complete list of endpoints. It may lag behind the agents' own records.
    Listed(Vec<EndpointRecord>),
    /// An agent reported the record of its own endpoint.
    AgentRecord(EndpointRecord),
    /// A message without a record came from the agent of this endpoint.
    AgentHeard(EndpointName),
    /// The connection to the agent of this endpoint closed or could not be opened.
    ConnectionLost(EndpointName),
    /// A requested wake-up time was reached, or any other occasion to check the timeouts.
    Tick,
}

/// Output of the membership core, to be executed by its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Open a new connection to the agent of this endpoint and use it for new work. Work in flight on an older
    /// connection may finish there, unless that connection is unresponsive.
    Connect {
        /// Endpoint whose agent to connect to.
        endpoint: EndpointName,
        /// Address at which the agent listens.
        agent: SocketAddr,
    },
    /// Close the connections to the agent of this endpoint once nothing is in flight on them.
    Disconnect {
        /// Endpoint whose agent to disconnect from.
        endpoint: EndpointName,
    },
    /// The state of an endpoint changed.
    Changed {
        /// Endpoint whose state changed.
        endpoint: EndpointName,
        /// State from now on.
        state: MemberState,
    },
    /// An endpoint was removed: it is no longer listed, and its agent is unresponsive.
    Removed {
        /// Endpoint that is no longer known.
        endpoint: EndpointName,
    },
    /// A network partition is suspected from now on (`true`), or no longer (`false`).
    PartitionSuspected(bool),
    /// Pass [`MemberEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
