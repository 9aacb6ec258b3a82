//! Hashes of the leading blocks of a prompt.
//!
//! Each hash covers its block and every block before it, so that one number names a whole prefix. Entries and
//! agents that hash the same text get the same numbers without sharing an index.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block: about 64 tokens of four bytes.
pub const BLOCK_BYTES: usize = 256;
/// Tokens in one block.
pub const BLOCK_TOKENS: u32 = 64;
/// The greatest number of blocks that are hashed; a longer prefix is told apart no further.
pub const MAX_BLOCKS: usize = 64;

/// Hashes the leading whole blocks of `text`. `seed` tells apart prompts whose caches can't be shared, such as those
/// of two models or adapters.
///
/// ```
/// use daisychute_policy::prefix::{BLOCK_BYTES, block_hashes};
///
/// let shared = "a".repeat(BLOCK_BYTES);
/// let one = block_hashes(1, &format!("{shared}{}", "b".repeat(BLOCK_BYTES)));
/// let two = block_hashes(1, &format!("{shared}{}", "c".repeat(BLOCK_BYTES)));
/// assert_eq!(one[0], two[0]);
/// assert_ne!(one[1], two[1]);
/// ```
#[must_use]
pub fn block_hashes(seed: u64, text: &str) -> Vec<u64> {
    text.as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .scan(seed, |chain, block| {
            *chain = xxh3_64_with_seed(block, *chain);
            Some(*chain)
        })
        .collect()
}

/// The seed of [`block_hashes`] for a model and the adapter on top of it.
#[must_use]
pub fn seed(model: &str, adapter: Option<&str>) -> u64 {
    let base = xxh3_64_with_seed(model.as_bytes(), 0);
    adapter.map_or(base, |it| xxh3_64_with_seed(it.as_bytes(), base))
}
