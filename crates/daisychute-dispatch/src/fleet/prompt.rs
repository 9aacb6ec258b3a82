//! Prompt of a generation request, as lengths and identities of its parts.

use crate::fleet::prefix_cache::PrefixCache;

/// One part of a prompt. Parts with the same key consist of the same tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PromptPart {
    /// Identifies the tokens of the part, across requests and fronts.
    pub key: u64,
    /// Length of the part, in tokens.
    pub tokens: u32,
}

/// Prompt of a generation request. The last part is specific to the request or its session; the parts before it are
/// the shared prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Length of the whole prompt, in tokens.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
}

impl Prompt {
    /// Returns the shared prefix: all parts but the last.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the parts of the shared prefix that are long enough to be tracked in a prefix cache.
    pub fn long_shared_parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.shared().iter().filter(|it| it.tokens >= PrefixCache::MIN_PART_TOKENS)
    }

    /// Returns the length of the shared prefix, in tokens.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|it| it.tokens).sum()
    }
}
