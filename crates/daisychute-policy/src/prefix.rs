//! Hashes of the leading blocks of a prompt.
//!
//! Each hash covers its block and all blocks before it, so one hash identifies a whole prefix. Entries and agents
//! that hash the same text get the same hashes without a shared index.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of prompt text in one block: [`BLOCK_TOKENS`] tokens of about four bytes.
pub const BLOCK_BYTES: usize = 256;
/// Estimated tokens in one block.
pub const BLOCK_TOKENS: u32 = 64;
/// Maximum number of blocks that are hashed. Prompts that differ only after these get the same hashes.
pub const MAX_BLOCKS: usize = 64;

/// Hashes the leading complete blocks of `text`, up to [`MAX_BLOCKS`]. Prompts that can't share a cache, such as those
/// for different models or adapters, need different values of `seed`; see [`seed`].
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

/// Returns the seed of [`block_hashes`] for a model and an optional adapter on it.
#[must_use]
pub fn seed(model: &str, adapter: Option<&str>) -> u64 {
    let base = xxh3_64_with_seed(model.as_bytes(), 0);
    adapter.map_or(base, |it| xxh3_64_with_seed(it.as_bytes(), base))
}
