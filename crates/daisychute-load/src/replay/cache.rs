//! The prefix cache of the engine fake.

use std::collections::{BTreeMap, HashMap};

/// Shared prefixes of finished prompts; the least recently used goes first.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixCache {
    capacity: u32,
    used: u32,
    clock: u64,
    entries: HashMap<u32, (u64, u32)>,
    by_use: BTreeMap<u64, u32>,
}

impl PrefixCache {
    pub(super) fn new(capacity: u32) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Tokens of this prefix that are cached.
    pub(super) fn lookup(&mut self, prefix: u32) -> u32 {
        let Some((used, tokens)) = self.entries.get_mut(&prefix) else { return 0 };
        self.by_use.remove(used);
        self.clock += 1;
        *used = self.clock;
        self.by_use.insert(self.clock, prefix);
        *tokens
    }

    pub(super) fn insert(&mut self, prefix: u32, tokens: u32) {
        if tokens == 0 || self.lookup(prefix) > 0 {
            return;
        }
        self.clock += 1;
        self.entries.insert(prefix, (self.clock, tokens));
        self.by_use.insert(self.clock, prefix);
        self.used += tokens;
        while self.used > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            self.used -= self.entries.remove(&oldest).map_or(0, |(_, tokens)| tokens);
        }
    }

    pub(super) fn used(&self) -> u32 {
        self.used
    }
}
