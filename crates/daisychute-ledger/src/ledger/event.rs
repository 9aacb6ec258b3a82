//! What a ledger is told and what it asks for.

use std::sync::Arc;

use daisychute_core::{Refusal, RequestId, Time};

use crate::{Answer, CallDigest, CallKey, Standing, WallTime};

/// A non-repeatable call that reached the agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewCall {
    /// The request that waits for the answer.
    pub waiter: RequestId,
    /// Its idempotency key.
    pub key: CallKey,
    /// Its digest.
    pub digest: CallDigest,
    /// What the agent may do with the key.
    pub standing: Standing,
    /// The wall clock.
    pub wall: WallTime,
}

/// What a ledger is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerEvent {
    /// A call arrived.
    Call(NewCall),
    /// The service answered in full.
    Answered {
        /// The key that ran.
        key: CallKey,
        /// The whole answer.
        answer: Answer,
    },
    /// The call ended before any byte of it left for the service. The key may run again.
    NotSent {
        /// The key that did not run.
        key: CallKey,
        /// What its waiters are told.
        refusal: Refusal,
    },
    /// The call may have run, and its answer is lost. The key never runs again within the retention.
    Lost {
        /// The key that may have run.
        key: CallKey,
        /// What its waiters and later repeats are told.
        refusal: Refusal,
    },
    /// Nobody waits for this request any more. A run that has begun goes on.
    Cancel {
        /// The request.
        waiter: RequestId,
    },
    /// The time that [`LedgerAction::SetTimer`] named has come.
    Tick,
}

/// What a ledger asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Run the call, and report its end. The agent checks the lease again immediately before it sends the call.
    Run {
        /// The key.
        key: CallKey,
        /// The request to run.
        waiter: RequestId,
    },
    /// Nothing to do now: the same key runs, and its end is told to this request as well.
    Wait {
        /// The request.
        waiter: RequestId,
    },
    /// The last waiter cancelled. Remove the call from the agent's queue and report [`LedgerEvent::NotSent`]; do
    /// nothing if it has left for the service.
    Dequeue {
        /// The key.
        key: CallKey,
    },
    /// Send this answer.
    Reply {
        /// The request.
        waiter: RequestId,
        /// The whole answer.
        answer: Arc<Answer>,
        /// Whether the answer was recorded for an earlier request.
        replayed: bool,
    },
    /// Send this refusal.
    Refuse {
        /// The request.
        waiter: RequestId,
        /// Why, and what is known.
        refusal: Refusal,
    },
    /// Send [`LedgerEvent::Tick`] at this time. It replaces any earlier timer of the ledger.
    SetTimer(Time),
}
