//! Id of a request, the same from the entry to the endpoint.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Incarnation;

/// Identifies a client request on every hop. Responses are matched by this id, never by order.
///
/// It is unique because an [`Incarnation`] is unique among entries, and an incarnation uses each `seq` once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the entry that accepted the request.
    pub origin: Incarnation,
    /// Number of the request among those that the incarnation accepted.
    pub seq: u64,
}

impl RequestId {
    /// Creates the id of request number `seq` of the entry incarnation `origin`.
    #[must_use]
    pub const fn new(origin: Incarnation, seq: u64) -> Self {
        Self { origin, seq }
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.origin.get(), self.seq)
    }
}

/// Error for a text that isn't a request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a request id is two hexadecimal numbers joined by '-'")]
pub struct ParseRequestIdError;

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(raw: &str) -> Result<Self, ParseRequestIdError> {
        let (origin, seq) = raw.split_once('-').ok_or(ParseRequestIdError)?;
        let origin = u64::from_str_radix(origin, 16).map_err(|_| ParseRequestIdError)?;
        let seq = u64::from_str_radix(seq, 16).map_err(|_| ParseRequestIdError)?;
        Ok(Self::new(Incarnation::new(origin), seq))
    }
}
