//! The JSON of completion answers.

use daisychute_core::FinishReason;
use serde_json::{Value, json};

use super::completion::Call;
use super::sequence::Sequence;

/// The form of the answers to one call.
#[derive(Debug, Clone)]
pub(super) struct AnswerForm {
    pub(super) call: Call,
    pub(super) id: String,
    pub(super) model: String,
}

impl AnswerForm {
    /// The JSON of one streamed event.
    pub(super) fn event(&self, text: &str, end: Option<(FinishReason, &Sequence)>) -> Value {
        let reason = end.map(|it| it.0);
        let choice = match self.call {
            Call::Completions => json!({"index": 0, "text": text, "finish_reason": reason}),
            Call::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": reason})
            }
        };
        let object = match self.call {
            Call::Completions => "text_completion",
            Call::Chat => "chat.completion.chunk",
        };
        let mut event = self.envelope(object, &choice);
        if let Some((_, sequence)) = end {
            event["usage"] = usage(sequence);
        }
        event
    }

    /// The JSON of a whole answer.
    pub(super) fn whole(&self, reason: FinishReason, sequence: &Sequence) -> Value {
        let text = sequence.text();
        let (object, choice) = match self.call {
            Call::Completions => {
                ("text_completion", json!({"index": 0, "text": text, "finish_reason": reason}))
            }
            Call::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": reason});
                ("chat.completion", choice)
            }
        };
        let mut answer = self.envelope(object, &choice);
        answer["usage"] = usage(sequence);
        answer
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
    let made = sequence.made();
    json!({
        "prompt_tokens": sequence.prompt_tokens,
        "cached_tokens": sequence.cached_tokens(),
        "completion_tokens": made,
        "total_tokens": sequence.prompt_tokens + made,
    })
}
