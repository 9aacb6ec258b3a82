//! The policies that a replay compares.

use clap::ValueEnum;
use daisychute_core::Role;
use daisychute_policy::{RolePlanner, Selector};

use super::options::Options;
use super::report::Report;
use super::roles::{Static, Threshold, static_prefill};
use super::routing::{LeastReported, RoundRobin};
use super::world::World;
use crate::trace::Trace;

/// A policy that a replay runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum PolicyName {
    /// The cores of daisychute.
    Ours,
    /// Our admission and choice; roles split by the mean of the whole trace and never changed.
    StaticSplit,
    /// Our admission and choice; every engine does both phases.
    AllMixed,
    /// Our admission and choice; roles change at thresholds of utilization with hysteresis.
    Threshold,
    /// Our admission; roles as in the static split; endpoints in turn.
    RoundRobin,
    /// Our admission; roles as in the static split; the endpoint with the least reported load.
    LeastReported,
}

impl PolicyName {
    /// All policies, ours first.
    pub const ALL: [Self; 6] = [
        Self::Ours,
        Self::StaticSplit,
        Self::AllMixed,
        Self::Threshold,
        Self::RoundRobin,
        Self::LeastReported,
    ];

    /// Its name in tables.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::StaticSplit => "static-split",
            Self::AllMixed => "all-mixed",
            Self::Threshold => "threshold",
            Self::RoundRobin => "round-robin",
            Self::LeastReported => "least-reported",
        }
    }
}

/// Replays a trace under a policy.
#[must_use]
pub fn replay(trace: &Trace, policy: PolicyName) -> Report {
    replay_with(trace, policy, Options::default())
}

/// Replays a trace under a policy with these options.
#[must_use]
pub fn replay_with(trace: &Trace, policy: PolicyName, options: Options) -> Report {
    let prefill = static_prefill(trace);
    let split = super::roles::split(trace, prefill);
    let mixed = vec![Role::Mixed; trace.header.deployment.engines.len()];
    let preference = trace.header.deployment.preference;
    match policy {
        PolicyName::Ours => {
            let roles = RolePlanner::new(preference);
            World::new(trace, options, &split, roles, Selector::new).run()
        }
        PolicyName::StaticSplit => World::new(trace, options, &split, Static, Selector::new).run(),
        PolicyName::AllMixed => World::new(trace, options, &mixed, Static, Selector::new).run(),
        PolicyName::Threshold => {
            World::new(trace, options, &split, Threshold::default(), Selector::new).run()
        }
        PolicyName::RoundRobin => {
            World::new(trace, options, &split, Static, RoundRobin::default).run()
        }
        PolicyName::LeastReported => {
            World::new(trace, options, &split, Static, LeastReported::default).run()
        }
    }
}
