//! Which processes watch the platform for their data centre.

use daisychute_core::ProcessName;
use xxhash_rust::xxh3::xxh3_64;

/// The processes that watch, out of those that are known to live in one data centre.
///
/// Everybody who knows the same processes comes to the same few, and a process that comes or goes changes at most
/// one of them: the ones with the highest hash of their names win (rendezvous hashing, D. Thaler and
/// C. Ravishankar, 1998). Processes with different views may have too many or too few watchers for a while; that costs
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
