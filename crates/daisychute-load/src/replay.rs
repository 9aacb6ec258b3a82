//! Replay of a trace through the decision cores on a virtual clock.
//!
//! The cores are those that the daemons run: [`AdmissionController`](daisychute_policy::AdmissionController) at each
//! endpoint, a [`Selector`](daisychute_policy::Selector) in each entry and the
//! [`RolePlanner`](daisychute_policy::RolePlanner). The engines are simulated: a step takes a fixed time plus a time
//! for each prompt token, each stream and the context of the streams. The baselines keep the admission and replace
//! the endpoint selection, the role planning or both by simpler policies.

mod bound;
mod cache;
mod engine;
mod request_state;
mod options;
mod policy;
mod report;
mod role_policy;
mod routing_policy;
mod world;

pub use self::bound::bound;
pub use self::options::Options;
pub use self::policy::{PolicyName, replay, replay_with};
pub use self::report::{Report, Sample};
pub(crate) use self::report::{histogram, weight};
