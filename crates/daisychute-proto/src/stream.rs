//! The response to a request, on its way from the agent to the entry.

use bytes::Bytes;
use daisychute_core::{FinishReason, ModelVersion, Refusal, RequestId, Usage};
use serde::{Deserialize, Serialize};

/// Agent to entry: the endpoint accepted the request, and its response starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of the attempt, as in its [`Start`](crate::Start).
    pub attempt: u32,
    /// The HTTP status of a service's response; 200 for a completion.
    pub status: u16,
    /// The media type of a service's response, if it states one.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The version of the model that runs, if it is known.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Whether a recorded response is replayed.
    #[serde(default)]
    pub replayed: bool,
}

/// Agent to entry: a part of the response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of the attempt, as in its [`Start`](crate::Start).
    pub attempt: u32,
    /// Number of bytes of this attempt's response before this part.
    pub offset: u64,
    /// Number of output tokens of this attempt up to the end of this part.
    #[serde(default)]
    pub tokens: u32,
    /// The part itself: UTF-8 text of a completion, or bytes of a service's response.
    pub data: Bytes,
}

/// Agent to entry: the response is complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of the attempt, as in its [`Start`](crate::Start).
    pub attempt: u32,
    /// Total number of bytes of this attempt's response. An entry that has received fewer doesn't have the complete
    /// response.
    pub length: u64,
    /// Why the model stopped generating. `None` for a service.
    #[serde(default)]
    pub finish: Option<FinishReason>,
    /// Token counts of a completion.
    #[serde(default)]
    pub usage: Usage,
}

/// Agent to entry: the request ended without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of the attempt, as in its [`Start`](crate::Start).
    pub attempt: u32,
    /// Why the request ended, and what is known about its effects.
    pub refusal: Refusal,
}

/// Entry to agent: the result of this request is no longer needed.
///
/// The agent responds with [`Refused`] (`not_run` if the request hadn't started) unless it has already sent the end of
/// the response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Identifies the request.
    pub id: RequestId,
}

/// Entry to agent: how many bytes were received, and how many more may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of bytes of this attempt's response that the entry has received. The agent may discard them.
    pub received: u64,
    /// Number of bytes beyond `received` that may be in flight.
    pub window: u32,
}

/// Entry to agent, on a new connection: continue the response from this offset.
///
/// An agent that doesn't know the request responds with [`Refused`] and never runs it, even if its
/// [`Start`](crate::Start) arrives later on an old connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// Identifies the request.
    pub id: RequestId,
    /// Number of the attempt, as in its [`Start`](crate::Start).
    pub attempt: u32,
    /// Number of bytes of this attempt's response that the entry has received.
    pub offset: u64,
    /// Number of bytes beyond `offset` that may be in flight.
    pub window: u32,
}
