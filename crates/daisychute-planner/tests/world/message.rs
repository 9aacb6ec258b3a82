//! Messages of the simulation that are in flight.

use bytes::Bytes;
use daisychute_agent::orders::{EngineState, Order, OrderOutcome};
use daisychute_core::{EndpointName, EngineTarget, Revision, Time};
use daisychute_store::{Object, ObjectKind, ReadOutcome, ResourceVersion, WriteOutcome};

use super::schedule::Act;

/// The state machine that made a call to the object store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallOrigin {
    Lease,
    Planner,
    Configuration,
    Plan,
    Confirmation,
}

/// Operation of a call to the object store.
#[derive(Debug, Clone)]
pub(crate) enum Op {
    Read(ObjectKind),
    Write(Box<Object>),
}

/// Result of a call to the object store.
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Read(Box<ReadOutcome>, ResourceVersion),
    Write(WriteOutcome),
}

/// Message from one process to another.
#[derive(Debug, Clone)]
pub(crate) enum Frame {
    Revisions { configuration: Revision, plan: Revision },
    Observed { endpoint: EndpointName, target: Option<EngineTarget> },
    Pull { kind: ObjectKind, have: Revision },
    Document { kind: ObjectKind, body: Bytes },
}

/// Input delivered to a process.
#[derive(Debug, Clone)]
pub(crate) enum Input {
    Wake(Time),
    Reply(CallOrigin, Reply),
    Watched(ObjectKind, Bytes),
    WatchEnded(ObjectKind),
    Frame(usize, Frame),
    State(EngineState),
    Answered(OrderOutcome),
    Drained,
}

/// Scheduled event of the simulation.
#[derive(Debug, Clone)]
pub(crate) enum Msg {
    Deliver { node: usize, incarnation: u64, input: Input },
    Call { node: usize, incarnation: u64, origin: CallOrigin, op: Op },
    LateWrite(Box<Object>),
    ReadState { node: usize, incarnation: u64 },
    Order { node: usize, incarnation: u64, order: Order, lost: bool },
    Gossip(usize),
    Start(usize),
    Act(Act),
}
