//! Errors of platform calls.

use std::time::Duration;

use thiserror::Error;

use crate::RateLimited;

/// Why the platform did not serve a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnavailableCause {
    /// The connection could not be opened, so the call was not sent.
    #[error("no connection could be opened")]
    Connect,
    /// The connection was lost before the whole response arrived.
    #[error("the connection was lost")]
    ConnectionLost,
    /// No whole response arrived within the timeout, or a watch received no data for its idle timeout.
    #[error("the timeout expired")]
    Timeout,
    /// The platform answered with a server error.
    #[error("the platform is unavailable (HTTP {status})")]
    ServerError {
        /// HTTP status of the response, 500 or above.
        status: u16,
    },
}

/// Why one call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The object no longer has the version that the call was conditional on.
    #[error("the object was changed by another write")]
    Conflict,
    /// A create named an object that exists.
    #[error("an object with this name already exists")]
    AlreadyExists,
    /// The platform has no object of this kind and name.
    #[error("the object does not exist")]
    NotFound,
    /// The platform no longer has the changes since the requested version. List again, then watch from the new version.
    #[error("the version is too old to watch from")]
    Expired,
    /// The object, or a line of a watch, exceeds the size limit.
    #[error("the object is larger than the platform takes")]
    TooLarge,
    /// The rate limit of this process rejected the call before it was sent.
    #[error(transparent)]
    RateLimited(#[from] RateLimited),
    /// The platform rejected the call because it receives too many.
    #[error("the platform throttles calls")]
    Throttled {
        /// How long to wait before the next call; `None` if the response doesn't say.
        retry_after: Option<Duration>,
    },
    /// The platform did not serve this call. It says nothing about later calls.
    #[error("the platform gave no answer: {0}")]
    Unavailable(UnavailableCause),
    /// The platform rejected the call for a reason that has no variant of its own.
    #[error("the platform rejected the call with HTTP {status}")]
    Refused {
        /// HTTP status of the response, below 500.
        status: u16,
    },
    /// The response doesn't follow the object API.
    #[error("the platform's response is malformed")]
    Malformed,
}

impl CallError {
    /// Whether a write that failed with this error may have taken effect nevertheless.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unavailable(cause) => *cause != UnavailableCause::Connect,
            Self::Malformed => true,
            _ => false,
        }
    }

    /// Whether a conditional write lost against another write.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Conflict | Self::AlreadyExists)
    }
}
