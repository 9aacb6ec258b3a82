//! Results of calls, as the cores receive them. Every call gets exactly one result, because the client has a timeout.

use crate::{CallError, Object, ResourceVersion};

/// Result of reading an object.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// The object exists, with this content and version.
    Found(Object),
    /// The object does not exist.
    Missing,
    /// The call failed, so the state of the object is unknown.
    Failed,
}

/// Result of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect; the object now has this version.
    Done(ResourceVersion),
    /// The write had no effect because the object didn't have the expected version, or already exists.
    Conflict,
    /// The write may have taken effect, or may still do so: its response was lost or unusable.
    Unknown,
    /// The write had no effect; the call failed for another reason than a conflict.
    Failed,
}

impl From<Result<Object, CallError>> for ReadOutcome {
    fn from(result: Result<Object, CallError>) -> Self {
        match result {
            Ok(object) => Self::Found(object),
            Err(CallError::NotFound) => Self::Missing,
            Err(_) => Self::Failed,
        }
    }
}

impl From<Result<Object, CallError>> for WriteOutcome {
    fn from(result: Result<Object, CallError>) -> Self {
        match result {
            Ok(object) => object.metadata.resource_version.map_or(Self::Unknown, Self::Done),
            Err(error) if error.is_conflict() => Self::Conflict,
            Err(CallError::NotFound) => Self::Conflict,
            Err(error) if error.may_have_taken_effect() => Self::Unknown,
            Err(_) => Self::Failed,
        }
    }
}
