//! Parsing and validation of completion and chat completion requests.

use daisychute_core::{AdapterName, Configuration, ModelName};
use daisychute_proto::{ChatMessage, Completion, Prompt};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::ClientError;

/// Maximum output tokens of a request that sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Separates the model from the adapter in the field `model`.
const ADAPTER_SEPARATOR: char = ':';
/// Options with which a second run can't continue the text of a first one, so a truncated response stays truncated.
const NON_CONTINUABLE_OPTIONS: [&str; 6] =
    ["logprobs", "top_logprobs", "echo", "best_of", "tools", "response_format"];

/// JSON body of a completion request. Fields not listed here are collected in `options` and passed to the engine.
#[derive(Debug, Deserialize)]
struct RawCompletion {
    model: String,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    messages: Option<Vec<RawMessage>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    n: Option<u32>,
    #[serde(flatten)]
    options: Map<String, Value>,
}

#[derive(Debug, Deserialize)]
struct RawMessage {
    role: String,
    content: String,
}

/// A validated completion request.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    /// Model, prompt and options, as sent to the agent.
    pub completion: Completion,
    /// Whether the client wants the response as server-sent events.
    pub stream: bool,
    /// Whether another run may continue a truncated response.
    pub continuable: bool,
}

impl CompletionRequest {
    /// Parses the body of `/v1/completions`, or of `/v1/chat/completions` if `chat` is set.
    ///
    /// # Errors
    ///
    /// The body is malformed, a field has an unsupported value, or the configuration doesn't define the model.
    pub fn parse(body: &[u8], chat: bool, cfg: &Configuration) -> Result<Self, ClientError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        if raw.n.is_some_and(|it| it != 1) {
            return Err(ClientError::BadField { field: "n", accepted: "1" });
        }
        let prompt =
            if chat { parse_chat_prompt(raw.messages)? } else { parse_text_prompt(raw.prompt)? };
        let (model, adapter) = parse_model(&raw.model, cfg)?;
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(ClientError::BadField { field: "max_tokens", accepted: "at least 1" });
        }
        let continuable = !NON_CONTINUABLE_OPTIONS.iter().any(|it| raw.options.contains_key(*it));
        let completion = Completion {
            model,
            adapter,
            version: None,
            prompt,
            max_tokens,
            options: serde_json::to_string(&raw.options)?,
            emitted: String::new(),
            emitted_tokens: 0,
        };
        Ok(Self { completion, stream: raw.stream, continuable })
    }
}

fn parse_text_prompt(prompt: Option<Value>) -> Result<Prompt, ClientError> {
    const BAD_PROMPT: ClientError =
        ClientError::BadField { field: "prompt", accepted: "a string, or a list of one string" };
    match prompt {
        Some(Value::String(text)) => Ok(Prompt::Text(text)),
        Some(Value::Array(mut texts)) if texts.len() == 1 => match texts.pop() {
            Some(Value::String(text)) => Ok(Prompt::Text(text)),
            _ => Err(BAD_PROMPT),
        },
        _ => Err(BAD_PROMPT),
    }
}

fn parse_chat_prompt(messages: Option<Vec<RawMessage>>) -> Result<Prompt, ClientError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(ClientError::BadField {
            field: "messages",
            accepted: "a list of at least one message",
        });
    }
    let messages =
        messages.into_iter().map(|it| ChatMessage { role: it.role, content: it.content });
    Ok(Prompt::Chat(messages.collect()))
}

fn parse_model(
    raw: &str,
    cfg: &Configuration,
) -> Result<(ModelName, Option<AdapterName>), ClientError> {
    let no_such_model = || ClientError::NoSuchModel(raw.to_owned());
    let (model, adapter) =
        raw.split_once(ADAPTER_SEPARATOR).map_or((raw, None), |(model, it)| (model, Some(it)));
    let model = cfg.models.get(model).ok_or_else(no_such_model)?;
    let adapter = match adapter {
        Some(adapter) => Some(model.adapters.get(adapter).ok_or_else(no_such_model)?.clone()),
        None => None,
    };
    Ok((model.name.clone(), adapter))
}
