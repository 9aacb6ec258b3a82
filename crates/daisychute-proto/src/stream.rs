//! The answer to a request on its way to the entry.

use bytes::Bytes;
use daisychute_core::{FinishReason, ModelVersion, Refusal, RequestId, Usage};
use serde::{Deserialize, Serialize};

/// Agent to entry: the endpoint took the request, and its answer begins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The request.
    pub id: RequestId,
    /// Which run of the request.
    pub attempt: u32,
    /// The HTTP status of a service's answer; 200 for a completion.
    pub status: u16,
    /// The media type of a service's answer.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The version of the model that answers.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// Whether a recorded answer is replayed.
    #[serde(default)]
    pub replayed: bool,
}

/// Agent to entry: a part of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request.
    pub id: RequestId,
    /// Which run of the request.
    pub attempt: u32,
    /// Bytes of this run's answer before this part.
    pub offset: u64,
    /// Output tokens of this run up to the end of this part.
    #[serde(default)]
    pub tokens: u32,
    /// The part: text of a completion in UTF-8, or bytes of a service's answer.
    pub data: Bytes,
}

/// Agent to entry: the answer is whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub id: RequestId,
    /// Which run of the request.
    pub attempt: u32,
    /// Bytes of this run's answer. An entry that has fewer does not have the whole answer.
    pub length: u64,
    /// Why a model stopped.
    #[serde(default)]
    pub finish: Option<FinishReason>,
    /// Tokens of a completion.
    #[serde(default)]
    pub usage: Usage,
}

/// Agent to entry: the request ends without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request.
    pub id: RequestId,
    /// Which run of the request.
    pub attempt: u32,
    /// Why, and what is known of its effect.
    pub refusal: Refusal,
}

/// Entry to agent: nobody waits for this request any more.
///
/// The agent answers with [`Refused`] (`not_run` where it had not started) unless it has already answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub id: RequestId,
}

/// Entry to agent: how much was taken, and how much more may be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Credit {
    /// The request.
    pub id: RequestId,
    /// Bytes of this run's answer that the entry has. The agent may forget them.
    pub received: u64,
    /// How many bytes beyond `received` may be under way.
    pub window: u32,
}

/// Entry to agent, on a new connection: go on with the answer from this offset.
///
/// An agent that doesn't know the request answers [`Refused`] and never runs it, even if its
/// [`Start`](crate::Start) arrives later by an old connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request.
    pub id: RequestId,
    /// Which run of the request.
    pub attempt: u32,
    /// Bytes of this run's answer that the entry has.
    pub offset: u64,
    /// How many bytes beyond `offset` may be under way.
    pub window: u32,
}
