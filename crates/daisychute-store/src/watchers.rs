//! Rendezvous hashing that elects the watchers of a data centre.

use daisychute_core::ProcessName;
use xxhash_rust::xxh3::xxh3_64;

/// Elects up to `count` watchers among the live processes of one data centre.
///
/// The processes whose names have the highest hashes win (rendezvous hashing, D. Thaler and C. Ravishankar, 1998).
/// Processes that know the same live processes elect the same watchers, and a process that joins or leaves changes at
/// most one of them. Processes with different views may elect too many or too few watchers for a while; that costs
/// calls or delay, never correctness.
#[must_use]
pub fn elect_watchers<'a>(
    live: impl IntoIterator<Item = &'a ProcessName>,
    count: usize,
) -> Vec<&'a ProcessName> {
    let mut ranked: Vec<_> = live.into_iter().collect();
    ranked.sort_by_key(|it| (std::cmp::Reverse(xxh3_64(it.as_str().as_bytes())), *it));
    ranked.dedup();
    ranked.truncate(count);
    ranked
}
