//! Completion requests.

use daisychute_core::EngineTarget;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use super::text;

/// Output tokens of a request that states no bound.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Which of the two completion calls it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    Completions,
    Chat,
}

/// The body of a completion call.
#[derive(Debug, Deserialize)]
pub(super) struct RawCompletion {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    request_id: Option<String>,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    continue_from: Option<String>,
    #[serde(default)]
    kv_handle: Option<String>,
    #[serde(default)]
    prefill_only: bool,
}

/// A checked completion call.
#[derive(Debug)]
pub(super) struct Completion {
    pub(super) call: Call,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) request_id: Option<String>,
    pub(super) priority: i64,
    /// Output tokens that the caller has; none if the call states no text.
    pub(super) first_index: Option<u32>,
    pub(super) kv_handle: Option<String>,
}

/// Why a completion call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum BadCompletion {
    #[error("the body is no completion request")]
    Malformed,
    #[error("neither a prompt nor a message is given")]
    NoPrompt,
    #[error("the engine does not serve this model")]
    WrongModel,
    #[error("continue_from is not the start of the output")]
    BadContinuation,
    #[error("the prompt and the output do not fit into the memory")]
    TooLong,
}

impl Completion {
    /// Checks the body of a call.
    pub(super) fn parse(call: Call, body: &[u8]) -> Result<Self, BadCompletion> {
        let raw: RawCompletion =
            serde_json::from_slice(body).map_err(|_| BadCompletion::Malformed)?;
        let prompt = raw.prompt(call)?;
        let emitted = raw.continue_from.as_deref();
        let first_index = emitted.map(|it| text::emitted_tokens(&prompt, it));
        if first_index == Some(None) {
            return Err(BadCompletion::BadContinuation);
        }
        let asked = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self {
            call,
            model: raw.model,
            prompt,
            max_tokens: if raw.prefill_only { 1 } else { asked },
            stream: raw.stream,
            request_id: raw.request_id,
            priority: raw.priority,
            first_index: first_index.flatten(),
            kv_handle: raw.kv_handle,
        })
    }

    /// Checks that the engine serves the model or adapter asked for.
    pub(super) fn check_model(&self, target: &EngineTarget) -> Result<(), BadCompletion> {
        let adapter = target.adapter.as_ref().map(AsRef::as_ref);
        if self.model == target.model.as_str() || Some(self.model.as_str()) == adapter {
            return Ok(());
        }
        Err(BadCompletion::WrongModel)
    }
}

impl RawCompletion {
    fn prompt(&self, call: Call) -> Result<String, BadCompletion> {
        let prompt = match call {
            Call::Completions => self.prompt.clone().unwrap_or_default(),
            Call::Chat => text::chat_prompt(&self.messages),
        };
        if prompt.is_empty() { Err(BadCompletion::NoPrompt) } else { Ok(prompt) }
    }
}
