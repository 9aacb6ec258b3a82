//! A server-sent event in the streamed response of an engine.

use daisychute_core::{FinishReason, Usage};
use serde::Deserialize;

/// A server-sent event in the streamed response of an engine.
#[derive(Debug, Deserialize)]
pub(super) struct CompletionEvent {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    pub(super) usage: Option<RawUsage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    #[serde(default)]
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Token counts in the engine's wire format.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct RawUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
}

impl CompletionEvent {
    /// The text that this event adds; `None` if it adds none.
    pub(super) fn text(&self) -> Option<&str> {
        let choice = self.choices.first()?;
        let delta = choice.delta.as_ref().and_then(|it| it.content.as_deref());
        choice.text.as_deref().or(delta).filter(|it| !it.is_empty())
    }

    /// Why the model stopped generating; `None` before it has.
    pub(super) fn finish_reason(&self) -> Option<FinishReason> {
        self.choices.first()?.finish_reason
    }
}

impl From<RawUsage> for Usage {
    fn from(raw: RawUsage) -> Self {
        Self {
            prompt_tokens: raw.prompt_tokens,
            cached_tokens: raw.cached_tokens,
            output_tokens: raw.completion_tokens,
        }
    }
}
