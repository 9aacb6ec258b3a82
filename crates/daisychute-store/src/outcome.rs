//! What a core is told of its calls. Each call gets exactly one answer, because the client bounds its time.

use crate::{CallError, Object, ResourceVersion};

/// How a read ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ReadOutcome {
    /// There is this object.
    Found(Object),
    /// There is no such object.
    Missing,
    /// Nothing was learned.
    Failed,
}

/// How a write ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Done(ResourceVersion),
    /// Another write came first.
    Conflict,
    /// It may or may not have taken effect.
    Unknown,
    /// It had no effect.
    Failed,
}

impl From<Result<Object, CallError>> for ReadOutcome {
    fn from(outcome: Result<Object, CallError>) -> Self {
        match outcome {
            Ok(object) => Self::Found(object),
            Err(CallError::NotFound) => Self::Missing,
            Err(_) => Self::Failed,
        }
    }
}

impl From<Result<Object, CallError>> for WriteOutcome {
    fn from(outcome: Result<Object, CallError>) -> Self {
        match outcome {
            Ok(object) => object.metadata.resource_version.map_or(Self::Unknown, Self::Done),
            Err(error) if error.is_conflict() => Self::Conflict,
            Err(CallError::NotFound) => Self::Conflict,
            Err(error) if error.may_have_taken_effect() => Self::Unknown,
            Err(_) => Self::Failed,
        }
    }
}
