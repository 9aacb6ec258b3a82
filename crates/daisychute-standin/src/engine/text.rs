//! Tokenization of prompts and the deterministic output for a prompt.

use serde_json::Value;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Words of the output. A token is a space, one of these words and a number below 100.
const VOCABULARY: [&str; 16] = [
    "bay", "barrier", "level", "ramp", "count", "sign", "street", "ledger", "entry", "match",
    "sum", "date", "bank", "client", "note", "digest",
];

/// Number of tokens of a text, which is its number of words.
#[must_use]
pub fn count_tokens(text: &str) -> u32 {
    u32::try_from(text.split_whitespace().count()).unwrap_or(u32::MAX)
}

/// Returns the output token with this index for `prompt`. It depends on nothing else.
#[must_use]
pub fn output_token(prompt: &str, index: u32) -> String {
    token_for_hash(xxh3_64(prompt.as_bytes()), index)
}

/// Returns the first `tokens` output tokens for `prompt`.
#[must_use]
pub fn output_text(prompt: &str, tokens: u32) -> String {
    let hash = xxh3_64(prompt.as_bytes());
    (0..tokens).map(|index| token_for_hash(hash, index)).collect()
}

/// Converts a list of chat messages to a prompt, one `role: content` line per message.
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

fn token_for_hash(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    let word = VOCABULARY[(hash % VOCABULARY.len() as u64) as usize];
    format!(" {word}{}", (hash >> 32) % 100)
}

/// Number of output tokens in `emitted`; `None` if it isn't a prefix of the output for `prompt`.
#[must_use]
pub fn emitted_tokens(prompt: &str, emitted: &str) -> Option<u32> {
    let hash = xxh3_64(prompt.as_bytes());
    let mut rest = emitted;
    let mut index = 0;
    while !rest.is_empty() {
        rest = rest.strip_prefix(token_for_hash(hash, index).as_str())?;
        index += 1;
    }
    Some(index)
}
