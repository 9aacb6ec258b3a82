//! Replay of a trace through the decision cores on a virtual clock.
//!
//! The cores are those that the daemons run: [`AdmissionController`](daisychute_policy::AdmissionController) before
//! each endpoint, a [`Selector`](daisychute_policy::Selector) in each entry and the
//! [`RolePlanner`](daisychute_policy::RolePlanner). Behind them stands a fake of the engine's interface whose step
//! takes a fixed time plus a time for each prompt token and each stream. Every baseline differs from ours in one
//! matter only and keeps the rest.

mod bound;
mod cache;
mod engine;
mod flight;
mod options;
mod policy;
mod report;
mod roles;
mod routing;
mod world;

pub use self::bound::bound;
pub use self::options::Options;
pub use self::policy::{PolicyName, replay, replay_with};
pub use self::report::{Report, Sample};
pub(crate) use self::report::{histogram, weight};
