//! An owner's question whether it may go on.

use serde::{Deserialize, Serialize};

use crate::Owner;

/// Agent to entry, while the platform does not answer: has the lease of this owner been revoked by you.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseQuestion {
    /// The owner.
    pub owner: Owner,
    /// Matches the answer to the question.
    pub nonce: u64,
}
