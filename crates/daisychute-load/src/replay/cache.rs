//! The prefix cache of the simulated engine.

use std::collections::{BTreeMap, HashMap};

/// Shared prefixes of prefilled prompts, with least-recently-used eviction. Sizes are in tokens.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixCache {
    capacity: u32,
    used: u32,
    // Number of uses so far; orders the prefixes by last use.
    clock: u64,
    // Last use and tokens of each prefix.
    entries: HashMap<u32, (u64, u32)>,
    by_last_use: BTreeMap<u64, u32>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u32) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Cached tokens of this prefix, which becomes the most recently used one.
    pub(super) fn lookup(&mut self, prefix: u32) -> u32 {
        let Some((last_used, tokens)) = self.entries.get_mut(&prefix) else { return 0 };
        self.by_last_use.remove(last_used);
        self.clock += 1;
        *last_used = self.clock;
        self.by_last_use.insert(self.clock, prefix);
        *tokens
    }

    pub(super) fn insert(&mut self, prefix: u32, tokens: u32) {
        if tokens == 0 || self.lookup(prefix) > 0 {
            return;
        }
        self.clock += 1;
        self.entries.insert(prefix, (self.clock, tokens));
        self.by_last_use.insert(self.clock, prefix);
        self.used += tokens;
        while self.used > self.capacity {
            let Some((_, oldest)) = self.by_last_use.pop_first() else { return };
            self.used -= self.entries.remove(&oldest).map_or(0, |(_, tokens)| tokens);
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.used
    }
}
