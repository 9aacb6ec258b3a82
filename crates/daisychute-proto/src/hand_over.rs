//! Passing what is known of idempotency keys from one owner to the next.

use bytes::Bytes;
use daisychute_core::{Refusal, TenantName};
use serde::{Deserialize, Serialize};

use crate::Owner;

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandOverEnding {
    /// With this answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The media type of the body.
        #[serde(default)]
        content_type: Option<String>,
        /// The body.
        body: Bytes,
    },
    /// Without an answer that can be replayed.
    Unknown(Refusal),
}

/// What is known of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOverCall {
    /// The tenant.
    pub tenant: TenantName,
    /// The key that the caller gave.
    pub key: String,
    /// The digest of the call: upper and lower half.
    pub digest: (u64, u64),
    /// How it ended.
    pub ending: HandOverEnding,
}

/// Agent to agent: a part of what is known of the keys of one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// The owner that gives the slot up.
    pub from: Owner,
    /// The next owner.
    pub to: Owner,
    /// The slot.
    pub slot: u16,
    /// Counts the parts of the slot, from 0.
    pub index: u32,
    /// The keys.
    pub calls: Vec<HandOverCall>,
}
