//! An entry's answer to an owner's question.

use std::time::Duration;

use daisychute_core::{Incarnation, ProcessName};
use serde::{Deserialize, Serialize};

use crate::Owner;

/// Entry to agent: answer to a [`LeaseQuestion`](crate::LeaseQuestion).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The entry.
    pub by: ProcessName,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// That of the question.
    pub owner: Owner,
    /// That of the question.
    pub nonce: u64,
    /// How long the owner may go on, from the moment it asked; none where the lease may have been revoked.
    #[serde(default)]
    pub span: Option<Duration>,
}
