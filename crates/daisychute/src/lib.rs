//! The libraries of daisychute under one name, for programs that embed a part of it.
//!
//! | module | what it is for |
//! | --- | --- |
//! | [`types`] | identifiers, units and checked types that the other modules share |
//! | [`dispatch`], [`front`] | a front, which sends requests straight to endpoints: its core and its shell |
//! | [`entry`], [`agent`] | an entry, and an agent beside each endpoint: their cores and shells |
//! | [`policy`] | admission, selection of endpoints and roles: pure decisions |
//! | [`planner`] | the planner of a region, and the shell that takes part in configuration and planning |
//! | [`store`] | client of the platform's object API, lease, replica of documents, membership |
//! | [`proto`], [`link`] | frames of the inner protocol, and connections that carry them |
//! | [`settings`] | settings and configurations, read from INI into checked types |
//! | [`runtime`] | clock, signals, HTTP listeners with limits |
//!
//! Every decision is taken by a core, which gets the time and an event and returns actions, so that it can be embedded
//! without any I/O:
//!
//! ```
//! use daisychute::entry::LeastLoad;
//! use daisychute::entry::core::{EntryConfig, EntryCore, Event};
//! use daisychute::types::{Incarnation, Time};
//!
//! let cfg = EntryConfig::default();
//! let mut core = EntryCore::new(cfg, LeastLoad::default(), Incarnation::new(1));
//! let mut actions = Vec::new();
//! core.handle(Time::ZERO, Event::Wake, &mut actions);
//! assert!(core.wake_at() > Time::ZERO);
//! ```
//!
//! `examples/service.rs` runs an entry and an agent with their shells in one process, before a plain service:
//!
//! ```text
//! cargo run -p daisychute --example service
//! ```

pub use daisychute_agent as agent;
pub use daisychute_core as types;
pub use daisychute_dispatch as dispatch;
pub use daisychute_entry as entry;
pub use daisychute_front as front;
pub use daisychute_link as link;
pub use daisychute_planner as planner;
pub use daisychute_policy as policy;
pub use daisychute_proto as proto;
pub use daisychute_runtime as runtime;
pub use daisychute_settings as settings;
pub use daisychute_store as store;
