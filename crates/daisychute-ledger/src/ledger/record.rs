//! What a ledger keeps for one key.

use std::collections::BTreeSet;
use std::sync::Arc;

use daisychute_core::{Refusal, RequestId, Time};
use serde::{Deserialize, Serialize};

use crate::{Answer, CallDigest, CallKey};

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// With this answer.
    Answered(Arc<Answer>),
    /// Without an answer that can be replayed.
    Unknown(Refusal),
}

/// The end of one call as it is handed to another owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedCall {
    /// The key.
    pub key: CallKey,
    /// The digest of the call.
    pub digest: CallDigest,
    /// How it ended.
    pub ending: Ending,
}

impl EndedCall {
    /// Bytes that it takes in a ledger.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        let answer = match &self.ending {
            Ending::Answered(answer) => answer.len_bytes(),
            Ending::Unknown(_) => 0,
        };
        crate::LedgerLimits::RECORD_BYTES + self.key.len_bytes() + answer
    }
}

#[derive(Debug)]
pub(super) enum State {
    Running {
        // Invariant: in arrival order by id; every one gets exactly one `Reply` or `Refuse`.
        waiters: BTreeSet<RequestId>,
    },
    Ended(Ending),
}

#[derive(Debug)]
pub(super) struct Record {
    pub(super) digest: CallDigest,
    pub(super) state: State,
    // Invariant: the sum over all records is `LedgerCore::bytes`.
    pub(super) bytes: usize,
    // Invariant: `Some` exactly if the call has ended, and then in `LedgerCore::expiries`.
    pub(super) expires: Option<Time>,
}
