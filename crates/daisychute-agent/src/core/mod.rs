//! The sans-I/O core of the agent. It has no clock and no source of randomness of its own.

mod action;
mod agent_core;
mod response_buffer;
mod config;
mod event;
mod job;
mod outcome_log;
mod transition;

pub use self::action::Action;
pub use self::agent_core::AgentCore;
pub use self::config::AgentConfig;
pub use self::event::{EndpointReport, Event};
pub use self::job::{Job, JobState};
pub use self::outcome_log::OutcomeLog;
pub use self::response_buffer::ResponseBuffer;
pub use self::transition::Transition;
