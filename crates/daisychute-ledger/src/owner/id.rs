//! Owners and slots.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ProcessId;

/// An agent as an owner of slots.
///
/// An agent whose lease was revoked goes on under the next generation, so that a revoked id is never used again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerId {
    /// The agent.
    pub agent: ProcessId,
    /// Counts the leases of that agent.
    pub generation: u32,
}

impl OwnerId {
    /// The first generation of an agent.
    #[must_use]
    pub const fn first(agent: ProcessId) -> Self {
        Self { agent, generation: 0 }
    }

    /// The generation that follows a revocation.
    #[must_use]
    pub fn next(&self) -> Self {
        Self { agent: self.agent.clone(), generation: self.generation + 1 }
    }
}

impl fmt::Display for OwnerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.agent, self.generation)
    }
}

/// One share of the keys of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slot(u16);

impl Slot {
    /// The slot with this number.
    #[must_use]
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Its number.
    #[must_use]
    pub const fn get(self) -> u16 {
        self.0
    }

    /// Its place in the table.
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }
}
