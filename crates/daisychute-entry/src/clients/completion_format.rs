//! JSON format of completion and chat completion responses.

use daisychute_core::{FinishReason, ModelName, RequestId, Usage};
use serde::Serialize;

/// Writes the response to one completion request as JSON.
#[derive(Debug, Clone)]
pub struct CompletionFormat {
    chat: bool,
    id: String,
    model: ModelName,
    /// Seconds since the Unix epoch.
    created: u64,
}

#[derive(Serialize)]
struct Envelope<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a ModelName,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageBody>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Message<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Serialize)]
struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptTokens,
}

#[derive(Serialize)]
struct PromptTokens {
    cached_tokens: u32,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.output_tokens,
            total_tokens: usage.prompt_tokens + usage.output_tokens,
            prompt_tokens_details: PromptTokens { cached_tokens: usage.cached_tokens },
        }
    }
}

impl CompletionFormat {
    /// Creates the format for one request. `created` is in seconds since the Unix epoch.
    #[must_use]
    pub fn new(chat: bool, id: RequestId, model: ModelName, created: u64) -> Self {
        let prefix = if chat { "chatcmpl" } else { "cmpl" };
        Self { chat, id: format!("{prefix}-{id}"), model, created }
    }

    /// Writes one event of a streamed response.
    ///
    /// # Errors
    ///
    /// JSON serialization failed.
    pub fn event(
        &self,
        text: &str,
        finish: Option<FinishReason>,
        usage: Option<Usage>,
    ) -> Result<String, serde_json::Error> {
        let delta = Message { role: None, content: text };
        let choice = if self.chat {
            Choice {
                index: 0,
                text: None,
                delta: Some(delta),
                message: None,
                finish_reason: finish,
            }
        } else {
            Choice { index: 0, text: Some(text), delta: None, message: None, finish_reason: finish }
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        self.write(object, choice, usage)
    }

    /// Writes a complete response that isn't streamed.
    ///
    /// # Errors
    ///
    /// JSON serialization failed.
    pub fn response(
        &self,
        text: &str,
        finish: Option<FinishReason>,
        usage: Usage,
    ) -> Result<String, serde_json::Error> {
        let message = Message { role: Some("assistant"), content: text };
        let choice = if self.chat {
            Choice {
                index: 0,
                text: None,
                delta: None,
                message: Some(message),
                finish_reason: finish,
            }
        } else {
            Choice { index: 0, text: Some(text), delta: None, message: None, finish_reason: finish }
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        self.write(object, choice, Some(usage))
    }

    fn write(
        &self,
        object: &'static str,
        choice: Choice<'_>,
        usage: Option<Usage>,
    ) -> Result<String, serde_json::Error> {
        serde_json::to_string(&Envelope {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage: usage.map(UsageBody::from),
        })
    }
}
