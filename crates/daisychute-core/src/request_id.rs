//! The id that a request keeps from the entry to the endpoint.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Incarnation;

/// Identifies one request of a caller on every hop. Answers are matched by it, never by order.
///
/// It is unique because an [`Incarnation`] is unique among entries and `seq` is never used twice in one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The incarnation of the entry that accepted the request.
    pub origin: Incarnation,
    /// Counts the requests of that incarnation.
    pub seq: u64,
}

impl RequestId {
    /// The id of the request number `seq` that the entry incarnation `origin` accepted.
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

/// The text is no request id.
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
