//! Answers that are recorded and replayed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The whole answer of a plain service to one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Bytes that it takes in a ledger.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        self.body.len() + self.content_type.as_ref().map_or(0, String::len)
    }
}
