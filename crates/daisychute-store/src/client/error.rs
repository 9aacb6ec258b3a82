//! Errors of the client.

use std::time::Duration;

use thiserror::Error;

use crate::RateLimited;

/// Why the platform gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnavailableCause {
    /// No connection could be opened; the call was not sent.
    #[error("no connection could be opened")]
    Connect,
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// The deadline passed.
    #[error("the deadline passed")]
    Deadline,
    /// The platform said that it is unavailable.
    #[error("the platform is unavailable (HTTP {status})")]
    ServerError {
        /// The HTTP status.
        status: u16,
    },
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The object is no longer of the version that the caller read.
    #[error("the object was changed by another write")]
    Conflict,
    /// There is an object of that name.
    #[error("an object of that name exists")]
    AlreadyExists,
    /// There is no such object.
    #[error("there is no such object")]
    NotFound,
    /// The changes since that version are no longer kept; list afresh.
    #[error("the version is too old to watch from")]
    Expired,
    /// The object is larger than the platform takes.
    #[error("the object is larger than the platform takes")]
    TooLarge,
    /// This process has made as many calls as it may.
    #[error(transparent)]
    RateLimited(#[from] RateLimited),
    /// The platform takes no more calls for now.
    #[error("the platform takes no more calls for now")]
    Throttled {
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// The platform gave no answer.
    #[error("the platform gave no answer: {0}")]
    Unavailable(UnavailableCause),
    /// The platform refused the call.
    #[error("the platform refused the call with HTTP {status}")]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The answer is not what the interface says.
    #[error("the platform's answer is malformed")]
    Malformed,
}

impl CallError {
    /// Whether a write that ended so may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unavailable(cause) => *cause != UnavailableCause::Connect,
            Self::Malformed => true,
            _ => false,
        }
    }

    /// Whether another write came first.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict | Self::AlreadyExists)
    }
}
