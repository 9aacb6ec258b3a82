//! A front: takes requests from callers and passes them straight to endpoints.
//!
//! The decisions are those of a [`Dispatcher`](daisychute_dispatch::Dispatcher). This crate is its shell: it reads
//! requests, sends them, passes answers on, watches a [`Directory`] of endpoints and configurations, and tells its
//! peers what it has under way. How requests and records look on the wire is up to a [`Dialect`] and a [`Directory`],
//! which a deployment supplies.

mod response_info;
mod client;
mod capacity_limits;
mod dialect;
mod directory;
mod endpoint;
mod event_framer;
mod front;
mod hop_by_hop;
mod peers;
mod plain_server;
mod readiness;
mod shared;
mod stop;

pub use crate::capacity_limits::CapacityLimits;
pub use crate::dialect::{Dialect, ForwardParams};
pub use crate::directory::directory_outage::DirectoryOutage;
pub use crate::directory::record::{Collection, Record};
pub use crate::directory::{Change, Directory, DirectoryError, Listing};
pub use crate::event_framer::EventFramer;
pub use crate::front::{Front, FrontError};
pub use crate::hop_by_hop::HOP_BY_HOP;
pub use crate::response_info::ResponseInfo;
