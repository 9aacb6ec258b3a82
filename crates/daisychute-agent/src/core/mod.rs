//! The decision core of the agent: no I/O, no clock, no randomness of its own.

mod action;
mod agent_core;
mod answer_buffer;
mod config;
mod event;
mod job;
mod outcome_log;
mod transition;

pub use self::action::Action;
pub use self::agent_core::AgentCore;
pub use self::answer_buffer::AnswerBuffer;
pub use self::config::AgentConfig;
pub use self::event::{EndpointReport, Event};
pub use self::job::{Job, JobState};
pub use self::outcome_log::OutcomeLog;
pub use self::transition::Transition;
