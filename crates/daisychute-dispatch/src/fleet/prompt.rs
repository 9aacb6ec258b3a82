//! What a request says of its prompt.

use crate::fleet::part_cache::PartCache;

/// One part of a prompt. Parts with the same key hold the same tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// Identifies the part's tokens.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// The prompt of a generation, in parts. The last part belongs to the request or to its session.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order.
    pub parts: Vec<PromptPart>,
    /// All tokens of the prompt.
    pub tokens: u32,
    /// The most tokens that may be generated.
    pub max_output: u32,
}

impl Prompt {
    /// The parts that other requests share: all but the last.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The shared parts that are worth a place in an engine's memory.
    pub fn long_shared_parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.shared().iter().filter(|it| it.tokens >= PartCache::SHORTEST)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|it| it.tokens).sum()
    }
}
