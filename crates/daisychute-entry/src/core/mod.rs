//! The sans-I/O core of the entry: a state machine without I/O, clock or randomness of its own.

mod action;
mod agents;
mod config;
mod entry_core;
mod event;
mod link_end;
mod request;
mod retry_budget;
mod split_character;
mod submission;
mod transition;

pub use self::action::{Action, ResponsePart};
pub use self::agents::{Agent, Agents, LinkState};
pub use self::config::EntryConfig;
pub use self::entry_core::EntryCore;
pub use self::event::Event;
pub use self::link_end::LinkEnd;
pub use self::request::{Request, RequestState};
pub use self::retry_budget::RetryBudget;
pub use self::submission::Submission;
pub use self::transition::Transition;
