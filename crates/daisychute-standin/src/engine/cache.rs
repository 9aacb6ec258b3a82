//! The prefix cache: blocks of prompt tokens by hash, least recently used first out.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens in one block.
pub const BLOCK_TOKENS: usize = 16;

/// The hash of one block together with all blocks before it.
pub type BlockHash = u64;

/// The hashes of the whole blocks of a prompt.
///
/// The hash of a block is XXH3 of its words joined by one space, seeded by the hash of the block before it, or by
/// zero.
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

/// The blocks in memory.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    clock: u64,
    // Invariant: `used_at` and `by_use` hold the same blocks, at most `capacity`.
    used_at: BTreeMap<BlockHash, u64>,
    by_use: BTreeMap<u64, BlockHash>,
}

/// What an insertion did.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Inserted {
    pub(super) stored: Vec<BlockHash>,
    pub(super) evicted: Vec<BlockHash>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, clock: 0, used_at: BTreeMap::new(), by_use: BTreeMap::new() }
    }

    /// The number of leading blocks that are in memory, which count as used now.
    pub(super) fn hit(&mut self, blocks: &[BlockHash]) -> usize {
        let hits = blocks.iter().take_while(|it| self.used_at.contains_key(it)).count();
        // The last block first, so that a chain is evicted from its end.
        for &block in blocks[..hits].iter().rev() {
            self.touch(block);
        }
        hits
    }

    /// Puts blocks into memory and evicts what no longer fits.
    pub(super) fn insert(&mut self, blocks: &[BlockHash]) -> Inserted {
        let mut inserted = Inserted::default();
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for &block in kept.iter().rev() {
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

    /// Empties the memory and returns what was in it.
    pub(super) fn clear(&mut self) -> Vec<BlockHash> {
        let blocks = self.by_use.values().copied().collect();
        self.used_at.clear();
        self.by_use.clear();
        blocks
    }

    /// Marks a block as used now; whether it is new.
    fn touch(&mut self, block: BlockHash) -> bool {
        self.clock += 1;
        let before = self.used_at.insert(block, self.clock);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, block);
        before.is_none()
    }
}
