//! Policies that can be compared by replays.

use clap::ValueEnum;
use daisychute_core::Role;
use daisychute_policy::{RolePlanner, Selector};

use super::options::Options;
use super::report::Report;
use super::role_policy::{StaticRoles, ThresholdRoles, static_prefill_engines};
use super::routing_policy::{LeastReported, RoundRobin};
use super::world::World;
use crate::trace::Trace;

/// A combination of admission, endpoint selection and role planning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, ValueEnum)]
pub enum PolicyName {
    /// Daisychute's own admission, endpoint selection and role planning.
    Ours,
    /// Our admission and endpoint selection; roles split by the mean mix of the whole trace and never changed.
    StaticSplit,
    /// Our admission and endpoint selection; every engine does both phases.
    AllMixed,
    /// Our admission and endpoint selection; roles change at utilization thresholds with hysteresis.
    Threshold,
    /// Our admission; roles as in the static split; endpoints in round-robin order.
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

    /// Name of the policy in tables and on the command line.
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

/// Replays a trace under a policy with the default options.
#[must_use]
pub fn replay(trace: &Trace, policy: PolicyName) -> Report {
    replay_with(trace, policy, Options::default())
}

/// Replays a trace under a policy with these options.
#[must_use]
pub fn replay_with(trace: &Trace, policy: PolicyName, options: Options) -> Report {
    let prefill = static_prefill_engines(trace);
    let split = super::role_policy::split_roles(trace, prefill);
    let mixed = vec![Role::Mixed; trace.header.deployment.engines.len()];
    let preference = trace.header.deployment.preference;
    match policy {
        PolicyName::Ours => {
            let roles = RolePlanner::new(preference);
            World::new(trace, options, &split, roles, Selector::new).run()
        }
        PolicyName::StaticSplit => {
            World::new(trace, options, &split, StaticRoles, Selector::new).run()
        }
        PolicyName::AllMixed => {
            World::new(trace, options, &mixed, StaticRoles, Selector::new).run()
        }
        PolicyName::Threshold => {
            World::new(trace, options, &split, ThresholdRoles::default(), Selector::new).run()
        }
        PolicyName::RoundRobin => {
            World::new(trace, options, &split, StaticRoles, RoundRobin::default).run()
        }
        PolicyName::LeastReported => {
            World::new(trace, options, &split, StaticRoles, LeastReported::default).run()
        }
    }
}
