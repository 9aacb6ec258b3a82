//! A completion or chat completion as a caller asks for it.

use daisychute_core::{AdapterName, Configuration, ModelName};
use daisychute_proto::{ChatMessage, Completion, Prompt};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::ClientError;

/// Output tokens of a request that names no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Between the model and the adapter in the field `model`.
const ADAPTER_SEPARATOR: char = ':';
/// Options under which two runs of the same request don't give texts that can be joined.
const NOT_CONTINUABLE: [&str; 6] =
    ["logprobs", "top_logprobs", "echo", "best_of", "tools", "response_format"];

/// The JSON body of a completion request; what is not listed is passed on to the engine.
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

/// A completion as a caller asks for it, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct CompletionRequest {
    /// What is asked of the model.
    pub completion: Completion,
    /// Whether the answer is wanted as server-sent events.
    pub stream: bool,
    /// Whether an answer that broke off may be continued by another run.
    pub continuable: bool,
}

impl CompletionRequest {
    /// Reads the body of `/v1/completions`, or of `/v1/chat/completions` where `chat` is set.
    ///
    /// # Errors
    ///
    /// The body is malformed, asks for what can't be served, or names a model that the configuration lacks.
    pub fn read(body: &[u8], chat: bool, cfg: &Configuration) -> Result<Self, ClientError> {
        let raw: RawCompletion = serde_json::from_slice(body)?;
        if raw.n.is_some_and(|it| it != 1) {
            return Err(ClientError::BadField { field: "n", accepted: "1" });
        }
        let prompt = if chat { read_chat(raw.messages)? } else { read_text(raw.prompt)? };
        let (model, adapter) = read_model(&raw.model, cfg)?;
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(ClientError::BadField { field: "max_tokens", accepted: "at least 1" });
        }
        let continuable = !NOT_CONTINUABLE.iter().any(|it| raw.options.contains_key(*it));
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

fn read_text(prompt: Option<Value>) -> Result<Prompt, ClientError> {
    const BAD: ClientError =
        ClientError::BadField { field: "prompt", accepted: "a string, or a list of one string" };
    match prompt {
        Some(Value::String(text)) => Ok(Prompt::Text(text)),
        Some(Value::Array(mut texts)) if texts.len() == 1 => match texts.pop() {
            Some(Value::String(text)) => Ok(Prompt::Text(text)),
            _ => Err(BAD),
        },
        _ => Err(BAD),
    }
}

fn read_chat(messages: Option<Vec<RawMessage>>) -> Result<Prompt, ClientError> {
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

fn read_model(
    raw: &str,
    cfg: &Configuration,
) -> Result<(ModelName, Option<AdapterName>), ClientError> {
    let unknown = || ClientError::NoSuchModel(raw.to_owned());
    let (model, adapter) =
        raw.split_once(ADAPTER_SEPARATOR).map_or((raw, None), |(model, it)| (model, Some(it)));
    let model = cfg.models.get(model).ok_or_else(unknown)?;
    let adapter = match adapter {
        Some(adapter) => Some(model.adapters.get(adapter).ok_or_else(unknown)?.clone()),
        None => None,
    };
    Ok((model.name.clone(), adapter))
}
