//! JSON of completion responses.

use daisychute_core::FinishReason;
use serde_json::{Value, json};

use super::completion::CompletionApi;
use super::sequence::Sequence;

/// Values that are equal in all JSON objects of one response.
#[derive(Debug, Clone)]
pub(super) struct ResponseFormat {
    pub(super) api: CompletionApi,
    pub(super) id: String,
    pub(super) model: String,
}

impl ResponseFormat {
    /// JSON of one streamed event. `end` is given for the last event, which reports the usage.
    pub(super) fn event(&self, text: &str, end: Option<(FinishReason, &Sequence)>) -> Value {
        let reason = end.map(|it| it.0);
        let choice = match self.api {
            CompletionApi::Completions => {
                json!({"index": 0, "text": text, "finish_reason": reason})
            }
            CompletionApi::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
            }
        };
        let object = match self.api {
            CompletionApi::Completions => "text_completion",
            CompletionApi::Chat => "chat.completion.chunk",
        };
        let mut event = self.envelope(object, &choice);
        if let Some((_, sequence)) = end {
            event["usage"] = usage(sequence);
        }
        event
    }

    /// JSON of a response that isn't streamed.
    pub(super) fn full_response(&self, reason: FinishReason, sequence: &Sequence) -> Value {
        let text = sequence.text();
        let (object, choice) = match self.api {
            CompletionApi::Completions => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": reason}))
            }
            CompletionApi::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": reason});
                ("chat.completion", choice)
            }
        };
        let mut response = self.envelope(object, &choice);
        response["usage"] = usage(sequence);
        response
    }

    fn envelope(&self, object: &str, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }
}

fn usage(sequence: &Sequence) -> Value {
    let completion_tokens = sequence.generated();
    json!({
        "prompt_tokens": sequence.prompt_tokens,
        "cached_tokens": sequence.cached_tokens(),
        "completion_tokens": completion_tokens,
        "total_tokens": sequence.prompt_tokens + completion_tokens,
    })
}
