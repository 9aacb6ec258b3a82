//! Estimate of the prompt parts in an endpoint's prefix cache.

use daisychute_core::Time;
use rustc_hash::FxHashMap;

use crate::{Prompt, PromptPart};

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_used: Time,
}

/// Prompt parts that an endpoint probably caches, by the requests sent there and by cache reports. Evicts the least
/// recently used part.
#[derive(Debug, Clone, Default)]
pub(crate) struct PrefixCache {
    parts: FxHashMap<u64, CachedPart>,
    // Sum of the tokens of all `parts`.
    tokens: u64,
}

impl PrefixCache {
    /// Shorter parts aren't tracked: prefilling them takes a few milliseconds.
    pub(crate) const MIN_PART_TOKENS: u32 = 512;
    /// Share of the KV cache that may hold cached parts; running requests use the rest.
    const CACHE_SHARE: f64 = 0.8;

    /// Records that the endpoint caches these parts. `capacity` is the size of its KV cache in tokens; nothing is
    /// evicted while it is `None`.
    pub(crate) fn record(&mut self, now: Time, parts: &[PromptPart], capacity: Option<u64>) {
        for part in parts {
            self.insert(now, *part);
        }
        let Some(capacity) = capacity else { return };
        let limit = (capacity as f64 * Self::CACHE_SHARE) as u64;
        while self.tokens > limit && self.evict_oldest() {}
    }

    fn insert(&mut self, now: Time, part: PromptPart) {
        if part.tokens < Self::MIN_PART_TOKENS {
            return;
        }
        let cached = CachedPart { tokens: part.tokens, last_used: now };
        let replaced = self.parts.insert(part.key, cached).map_or(0, |it| it.tokens);
        self.tokens = self.tokens - u64::from(replaced) + u64::from(part.tokens);
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest =
            self.parts.iter().min_by_key(|(key, it)| (it.last_used, **key)).map(|(key, _)| *key);
        let Some(cached) = oldest.and_then(|key| self.parts.remove(&key)) else { return false };
        self.tokens -= u64::from(cached.tokens);
        true
    }

    /// Returns the number of tokens at the start of the prompt that are cached; zero if they are too few to matter.
    pub(crate) fn cached_tokens(&self, prompt: &Prompt) -> u32 {
        let is_cached = |it: &&PromptPart| {
            it.tokens < Self::MIN_PART_TOKENS || self.parts.contains_key(&it.key)
        };
        let cached: u32 = prompt.shared().iter().take_while(is_cached).map(|it| it.tokens).sum();
        if cached < Self::MIN_PART_TOKENS { 0 } else { cached }
    }
}
