//! Parsing and checks of completion requests.

use daisychute_core::EngineTarget;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use super::text;

/// Maximum number of output tokens if a request doesn't give one.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// API through which a completion was requested; it determines the format of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CompletionApi {
    /// `POST /v1/completions`.
    Completions,
    /// `POST /v1/chat/completions`.
    Chat,
}

/// JSON body of a completion request.
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

/// A completion request that has been checked, apart from its model.
#[derive(Debug)]
pub(super) struct Completion {
    pub(super) api: CompletionApi,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) stream: bool,
    pub(super) request_id: Option<String>,
    pub(super) priority: i64,
    /// Number of output tokens in `continue_from`; `None` if the request doesn't continue a generation.
    pub(super) first_index: Option<u32>,
    pub(super) kv_handle: Option<String>,
}

/// The reason why a completion request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(super) enum CompletionError {
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
    /// Parses and checks the body of a request.
    pub(super) fn parse(api: CompletionApi, body: &[u8]) -> Result<Self, CompletionError> {
        let raw: RawCompletion =
            serde_json::from_slice(body).map_err(|_| CompletionError::Malformed)?;
        let prompt = raw.prompt(api)?;
        let emitted = raw.continue_from.as_deref();
        let first_index = emitted.map(|it| text::emitted_tokens(&prompt, it));
        if first_index == Some(None) {
            return Err(CompletionError::BadContinuation);
        }
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        Ok(Self {
            api,
            model: raw.model,
            prompt,
            max_tokens: if raw.prefill_only { 1 } else { max_tokens },
            stream: raw.stream,
            request_id: raw.request_id,
            priority: raw.priority,
            first_index: first_index.flatten(),
            kv_handle: raw.kv_handle,
        })
    }

    /// Checks that the engine serves the requested model or adapter.
    pub(super) fn check_model(&self, target: &EngineTarget) -> Result<(), CompletionError> {
        let adapter = target.adapter.as_ref().map(AsRef::as_ref);
        if self.model == target.model.as_str() || Some(self.model.as_str()) == adapter {
            return Ok(());
        }
        Err(CompletionError::WrongModel)
    }
}

impl RawCompletion {
    fn prompt(&self, api: CompletionApi) -> Result<String, CompletionError> {
        let prompt = match api {
            CompletionApi::Completions => self.prompt.clone().unwrap_or_default(),
            CompletionApi::Chat => text::chat_prompt(&self.messages),
        };
        if prompt.is_empty() { Err(CompletionError::NoPrompt) } else { Ok(prompt) }
    }
}
