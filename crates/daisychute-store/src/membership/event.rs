//! What the membership core is told and what it asks for.

use std::net::SocketAddr;

use daisychute_core::{EndpointName, EndpointRecord, Time};

/// How a process stands to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Its agent has not been heard, so it gets no work yet.
    Unconfirmed,
    /// It gets work.
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
    /// Its agent is silent, so it gets no work.
    Suspect,
    /// Its agent is silent, but so many are that this process is probably the one that is cut off. It gets work.
    Retained,
}

impl MemberState {
    /// Whether new work may be sent.
    #[must_use]
    pub const fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Retained)
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEvent {
    /// The platform's list, whole. It lags.
    Listed(Vec<EndpointRecord>),
    /// An agent said this of itself.
    AgentRecord(EndpointRecord),
    /// Something came from the agent of this endpoint.
    AgentHeard(EndpointName),
    /// The connection to the agent of this endpoint closed, or can't be opened.
    ConnectionLost(EndpointName),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberAction {
    /// Open a new connection to the agent of this endpoint and use it for new work. What is in flight on an older one
    /// may end there, unless it is silent.
    Connect {
        /// The endpoint.
        endpoint: EndpointName,
        /// Where its agent listens.
        agent: SocketAddr,
    },
    /// Close the connections to the agent of this endpoint when nothing is in flight.
    Disconnect {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// An endpoint stands otherwise than before.
    Changed {
        /// The endpoint.
        endpoint: EndpointName,
        /// How it stands now.
        state: MemberState,
    },
    /// An endpoint is forgotten.
    Removed {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// So many agents are silent that this process is probably cut off, or no longer.
    PartitionSuspected(bool),
    /// Call again with [`MemberEvent::Tick`] at this time, or earlier.
    WakeAt(Time),
}
