//! Prompts, their tokens and the output that follows from them.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Words of the output; each token is one of them after a space.
const VOCABULARY: [&str; 16] = [
    "bay", "barrier", "level", "ramp", "count", "sign", "street", "ledger", "entry", "match",
    "sum", "date", "bank", "client", "note", "digest",
];

/// The number of tokens of a text: its words.
#[must_use]
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// The output token number `index` that follows `prompt`. It depends on nothing else.
#[must_use]
pub fn output_token(prompt: &str, index: u32) -> String {
    token_of(xxh3_64(prompt.as_bytes()), index)
}

/// The first `tokens` output tokens that follow `prompt`.
#[must_use]
pub fn output_text(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|index| token_of(hash, index)).collect()
}

/// The prompt that a list of chat messages stands for.
#[must_use]
pub fn chat_prompt(messages: &[Value]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(message["role"].as_str().unwrap_or_default());
        prompt.push_str(": ");
        match &message["content"] {
            Value::String(text) => prompt.push_str(text),
            other => prompt.push_str(&other.to_string()),
        }
        prompt.push('\n');
    }
    prompt
}

fn token_of(prompt: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt);
    let word = VOCABULARY[(hash % VOCABULARY.len() as u64) as usize];
    format!(" {word}{}", (hash >> 32) % 100)
}

/// How many output tokens `emitted` holds; none if it is not the start of the output after `prompt`.
#[must_use]
pub fn emitted_tokens(prompt: &str, emitted: &str) -> Option<u32> {
    let hash = xxh3_64(prompt.as_bytes());
    let mut rest = emitted;
    let mut index = 0;
    while !rest.is_empty() {
        rest = rest.strip_prefix(token_of(hash, index).as_str())?;
        index += 1;
    }
    Some(index)
}
