//! Endpoint selection.
//!
//! Querying each of several hundred endpoints for every request costs too much, and their load reports are stale, so
//! an entry compares only a few candidates: the first ones by a rendezvous hash (Thaler and Ravishankar, 1998) of
//! model, adapter and leading prompt blocks, on which all entries agree without a shared index, and random ones
//! (power of d choices, Mitzenmacher 2001). It selects the candidate with the lowest estimated time to first token
//! (TTFT), which accounts for the cached prefix, the reported queue, the entry's own sends since the report, and the
//! network latency. If a prefix is too popular for its endpoints, their queues grow and requests spill over to
//! others, as in consistent hashing with bounded loads (Mirrokni et al., 2016). [`Selector::probes`] returns
//! candidates with a stale report; their responses improve later selections (asynchronous probes as in Prequal,
//! Wydrowski et al., 2024).

mod candidate;
mod selector;
mod estimate;
mod health;
mod cached_blocks;
mod pipeline;
mod selection_query;
mod recent_sends;
mod endpoint_entry;

pub use self::candidate::Candidate;
pub use self::selection_query::{NoEndpoint, Selection, SelectionQuery};
pub use self::selector::Selector;
