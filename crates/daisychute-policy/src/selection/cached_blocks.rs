//! The prompt prefixes that are expected to be in an endpoint's prefix cache.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

/// Hashes of prompt blocks that this entry sent to an endpoint, or that the endpoint reported as cached.
///
/// They are only hints: a late or lost report makes an estimate less accurate. The oldest hints are dropped first.
#[derive(Debug, Clone, Default)]
pub(super) struct CachedBlocks {
    // How often each block was added.
    counts: FxHashMap<u64, u32>,
    // Blocks from oldest to newest. Invariant: contains each block as often as `counts` says.
    order: VecDeque<u64>,
}

impl CachedBlocks {
    /// Maximum length of `order`.
    const MAX_BLOCKS: usize = 2_048;

    pub(super) fn add(&mut self, blocks: &[u64]) {
        for &block in blocks {
            *self.counts.entry(block).or_insert(0) += 1;
            self.order.push_back(block);
        }
        while self.order.len() > Self::MAX_BLOCKS {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, block: u64) {
        if self.counts.remove(&block).is_some() {
            self.order.retain(|it| *it != block);
        }
    }

    pub(super) fn clear(&mut self) {
        self.counts.clear();
        self.order.clear();
    }

    /// Returns how many of the leading blocks are expected to be cached.
    pub(super) fn leading(&self, blocks: &[u64]) -> u32 {
        // Each hash covers all blocks before it, so the last known hash decides.
        let last_known = blocks.iter().rposition(|it| self.counts.contains_key(it));
        last_known.map_or(0, |it| it as u32 + 1)
    }

    fn drop_oldest(&mut self) {
        let Some(block) = self.order.pop_front() else { return };
        if let Some(count) = self.counts.get_mut(&block) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&block);
            }
        }
    }
}
