//! The prefix cache: an LRU cache of prompt blocks, identified by hash.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// Hash of a block and all blocks before it.
pub type BlockHash = u64;

/// Returns the hashes of the complete blocks of a prompt.
///
/// The hash of a block is XXH3 of its words joined by single spaces. The seed is the hash of the previous block, or
/// zero for the first block.
#[must_use]
pub fn prompt_blocks(prompt: &str) -> Vec<BlockHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let blocks = words.chunks_exact(BLOCK_TOKENS);
    let hashes = blocks.scan(0, |parent, block| {
        *parent = xxh3_64_with_seed(block.join(" ").as_bytes(), *parent);
        Some(*parent)
    });
    hashes.collect()
}

/// The cached blocks, in order of use.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    /// Number of uses so far, the time stamp of the next use.
    clock: u64,
    // Invariant: `used_at` and `by_use` hold the same blocks, at most `capacity`.
    used_at: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

/// Blocks that an insertion added and evicted.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Inserted {
    pub(super) stored: Vec<BlockHash>,
    pub(super) evicted: Vec<BlockHash>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, used_at: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// Returns the number of leading blocks that are cached, and marks these as used.
    pub(super) fn touch_prefix(&mut self, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|it| self.used_at.contains_key(it)).count();
        // Last block first, so that eviction starts at the end of a chain.
        for &block in blocks[..hits].iter().rev() {
            self.touch(block);
        }
        hits
    }

    /// Adds the blocks that fit into the cache, and evicts the least recently used ones beyond its capacity.
    pub(super) fn insert(&mut self, blocks: &[BlockHash]) -> Inserted {
        let mut inserted = Inserted::default();
        let cached = &blocks[..blocks.len().min(self.capacity)];
        for &block in cached.iter().rev() {
            if self.touch(block) {
                inserted.stored.push(block);
            }
        }
        inserted.stored.reverse();
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&block);
            inserted.evicted.push(block);
        }
        inserted
    }

    /// Empties the cache and returns the blocks that it held.
    pub(super) fn clear(&mut self) -> Vec<BlockHash> {
        let blocks = self.by_use.values().copied().collect();
        self.used_at.clear();
        self.by_use.clear();
        blocks
    }

    /// Marks a block as used. Returns whether it is new in the cache.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.clock += 1;
        let last_use = self.used_at.insert(block, self.clock);
        if let Some(last_use) = last_use {
            self.by_use.remove(&last_use);
        }
        self.by_use.insert(self.clock, block);
        last_use.is_none()
    }
}
