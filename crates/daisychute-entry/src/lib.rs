//! The entry: client HTTP API, routing, retries and refusals.
//!
//! [`core::EntryCore`] is a sans-I/O state machine that makes every decision; [`shell`] performs the I/O.
//!
//! ```
//! use daisychute_core::Incarnation;
//! use daisychute_entry::LeastLoad;
//! use daisychute_entry::core::{EntryConfig, EntryCore};
//!
//! let mut core = EntryCore::new(EntryConfig::default(), LeastLoad::default(), Incarnation::new(1));
//! assert_eq!(core.next_id().seq, 1);
//! assert!(core.requests().is_empty());
//! ```

mod endpoint_selector;
mod policy_selector;
pub mod clients;
pub mod core;
pub mod shell;

pub use crate::endpoint_selector::{EndpointSelector, LeastLoad};
pub use crate::policy_selector::PolicySelector;
