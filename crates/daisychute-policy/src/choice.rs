//! Choice of the endpoint of one request.
//!
//! Asking all of several hundred endpoints costs too much and what they said is old, so that an entry looks at few:
//! the first ones of a rendezvous hash (Thaler and Ravishankar, 1998) of model, adapter and leading prompt blocks,
//! which all entries agree on without a shared index, and random ones (power of d choices, Mitzenmacher 2001). Of
//! these it takes the one with the least estimated time to the first token, counting the cached prefix, the
//! reported queue, its own sends that the report doesn't hold yet, and the distance. A prefix that is too popular
//! for its endpoints moves on by itself, as with consistent hashing with bounded loads (Mirrokni et al., 2016),
//! because their queues grow. [`Selector::probes`] names endpoints whose report is old; an answer that comes in time
//! sharpens the next choice (asynchronous probes as in Prequal, Wydrowski et al., 2024).

mod candidate;
mod selector;
mod estimate;
mod health;
mod hits;
mod pipeline;
mod selection_query;
mod sends;
mod slot;

pub use self::candidate::Candidate;
pub use self::selection_query::{NoEndpoint, Selection, SelectionQuery};
pub use self::selector::Selector;
