//! A request on its way to an agent.

use std::borrow::Cow;
use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{
    AdapterName, ClassName, ModelName, ModelVersion, Precedence, RequestId, ServiceName, TenantName,
};
use serde::{Deserialize, Serialize};

/// One message of a chat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// What a model is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Prompt {
    /// A plain text.
    Text(String),
    /// A chat.
    Chat(Vec<ChatMessage>),
}

impl Prompt {
    /// Its whole text: what engines cache by prefix.
    #[must_use]
    pub fn text(&self) -> Cow<'_, str> {
        match self {
            Self::Text(text) => Cow::Borrowed(text),
            Self::Chat(messages) => {
                Cow::Owned(messages.iter().map(|it| it.content.as_str()).collect())
            }
        }
    }
}

/// A completion by a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// The model.
    pub model: ModelName,
    /// The adapter on top of it.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// The version that made the text in `emitted`; a run elsewhere needs the same.
    #[serde(default)]
    pub version: Option<ModelVersion>,
    /// What is asked.
    pub prompt: Prompt,
    /// The greatest number of output tokens.
    pub max_tokens: u32,
    /// Further fields of the caller's request as a JSON object, passed on as they are.
    #[serde(default)]
    pub options: String,
    /// The output that the caller already has from an earlier run.
    #[serde(default)]
    pub emitted: String,
    /// Output tokens in `emitted`.
    #[serde(default)]
    pub emitted_tokens: u32,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path and query below the service.
    pub path: String,
    /// The media type of the body.
    #[serde(default)]
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The idempotency key, given by the caller or made by the entry.
    #[serde(default)]
    pub key: Option<String>,
    /// Whether running it again does no harm.
    pub repeatable: bool,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A completion by a model.
    Completion(Completion),
    /// A call of a plain service.
    Call(Call),
}

/// Entry to agent: run this request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// The request.
    pub id: RequestId,
    /// Counts the runs of the request, from 1.
    pub attempt: u32,
    /// For whom.
    pub tenant: TenantName,
    /// In which class.
    pub class: ClassName,
    /// The precedence of that class.
    pub precedence: Precedence,
    /// The time that is left until the end of the answer.
    pub deadline: Duration,
    /// The time that is left until the first token, where the class gives one.
    #[serde(default)]
    pub first_token: Option<Duration>,
    /// The target between tokens, where the class gives one.
    #[serde(default)]
    pub between_tokens: Option<Duration>,
    /// How many bytes may be sent before the first [`Credit`](crate::Credit).
    pub window: u32,
    /// What is to be done.
    pub work: Work,
}
