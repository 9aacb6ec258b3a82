//! The next owner's acknowledgement.

use serde::{Deserialize, Serialize};

use crate::Owner;

/// Agent to agent: this part of a [`HandOver`](crate::HandOver) has been taken over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverTaken {
    /// That of the part.
    pub from: Owner,
    /// That of the part.
    pub to: Owner,
    /// That of the part.
    pub slot: u16,
    /// That of the part.
    pub index: u32,
}
