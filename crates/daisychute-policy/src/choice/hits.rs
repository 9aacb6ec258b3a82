//! Which prefixes an endpoint is believed to have in its cache.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

/// Prefix blocks that this entry sent to an endpoint, or that the endpoint's cache events or probes named.
///
/// It is a hint: late or lost events make an estimate worse and nothing else. The oldest hints are dropped first.
#[derive(Debug, Clone, Default)]
pub(super) struct Hits {
    blocks: FxHashMap<u64, u32>,
    // Invariant: each block in `blocks` stands here as often as its count says.
    order: VecDeque<u64>,
}

impl Hits {
    const MAX_BLOCKS: usize = 2_048;

    pub(super) fn add(&mut self, blocks: &[u64]) {
        for &block in blocks {
            *self.blocks.entry(block).or_insert(0) += 1;
            self.order.push_back(block);
        }
        while self.order.len() > Self::MAX_BLOCKS {
            self.drop_oldest();
        }
    }

    pub(super) fn remove(&mut self, block: u64) {
        if self.blocks.remove(&block).is_some() {
            self.order.retain(|it| *it != block);
        }
    }

    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
    }

    /// How many of the leading blocks are believed to be cached.
    pub(super) fn leading(&self, blocks: &[u64]) -> u32 {
        // Each hash covers all blocks before it, so that the longest known one decides.
        let known = blocks.iter().rposition(|it| self.blocks.contains_key(it));
        known.map_or(0, |it| it as u32 + 1)
    }

    fn drop_oldest(&mut self) {
        let Some(block) = self.order.pop_front() else { return };
        if let Some(count) = self.blocks.get_mut(&block) {
            *count -= 1;
            if *count == 0 {
                self.blocks.remove(&block);
            }
        }
    }
}
