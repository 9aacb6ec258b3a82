//! Role policies: a trait for the policy crate's planner and for the baselines.

use daisychute_core::{Role, Time};
use daisychute_policy::{Demand, DemandTable, Fleet, RoleChange, RolePlanner};

use super::report::weight;
use crate::trace::{Trace, Work};

/// Decides role changes, once per planning interval.
pub(super) trait RolePolicy {
    fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange>;
}

impl RolePolicy for RolePlanner {
    fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        Self::plan(self, now, fleet, demand)
    }
}

/// Never changes a role.
#[derive(Debug, Clone, Copy)]
pub(super) struct StaticRoles;

impl RolePolicy for StaticRoles {
    fn plan(&mut self, _now: Time, _fleet: &Fleet, _demand: &DemandTable) -> Vec<RoleChange> {
        Vec::new()
    }
}

/// Changes the role of one engine when the utilization of one phase was high and that of the other low for some rounds
/// in a row, and then makes no change during a cooldown.
#[derive(Debug, Clone, Default)]
pub(super) struct ThresholdRoles {
    // Rounds in a row with an imbalance: positive if prefill is overloaded, negative if decode is.
    imbalanced_rounds: i32,
    // Rounds until the next change is allowed.
    cooldown: u32,
}

impl ThresholdRoles {
    const HIGH_UTILIZATION: f64 = 0.8;
    const LOW_UTILIZATION: f64 = 0.6;
    const ROUNDS_BEFORE_CHANGE: i32 = 2;
    const COOLDOWN_ROUNDS: u32 = 2;
}

impl RolePolicy for ThresholdRoles {
    fn plan(&mut self, _now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        let total = demand.models.values().fold(Demand::default(), |sum, it| sum.plus(*it));
        let count =
            |role: Role| fleet.engines.iter().filter(|it| it.live && it.role == role).count();
        let prefill = (total.prefill + total.deferrable / 2.0) / count(Role::Prefill).max(1) as f64;
        let decode = (total.decode + total.deferrable / 2.0) / count(Role::Decode).max(1) as f64;
        self.imbalanced_rounds =
            if prefill > Self::HIGH_UTILIZATION && decode < Self::LOW_UTILIZATION {
                self.imbalanced_rounds.max(0) + 1
            } else if decode > Self::HIGH_UTILIZATION && prefill < Self::LOW_UTILIZATION {
                self.imbalanced_rounds.min(0) - 1
            } else {
                0
            };
        self.cooldown = self.cooldown.saturating_sub(1);
        if self.imbalanced_rounds.abs() < Self::ROUNDS_BEFORE_CHANGE || self.cooldown > 0 {
            return Vec::new();
        }
        let (from, to) = if self.imbalanced_rounds > 0 {
            (Role::Decode, Role::Prefill)
        } else {
            (Role::Prefill, Role::Decode)
        };
        self.cooldown = Self::COOLDOWN_ROUNDS;
        pick_role_change(fleet, from, to).into_iter().collect()
    }
}

/// Changes the engine with the fewest running requests among those whose data centre has another engine of the role.
fn pick_role_change(fleet: &Fleet, from: Role, to: Role) -> Option<RoleChange> {
    let peer_count = |it: &daisychute_policy::EngineView| {
        let is_peer = |other: &&daisychute_policy::EngineView| {
            other.live
                && !other.changing
                && other.role == from
                && other.data_centre == it.data_centre
        };
        fleet.engines.iter().filter(is_peer).count()
    };
    let available = fleet.engines.iter().filter(|it| it.live && !it.changing && it.role == from);
    let candidates = available.filter(|it| peer_count(it) > 1);
    let least_loaded = candidates.min_by_key(|it| (it.running, it.endpoint.clone()))?;
    Some(RoleChange { endpoint: least_loaded.endpoint.clone(), role: to })
}

/// Number of prefill engines that fits the mean mix of the whole trace, with at least one engine of each role per data
/// centre.
pub(super) fn static_prefill_engines(trace: &Trace) -> usize {
    let speed = trace.header.deployment.speed;
    let engines = trace.header.deployment.engines.len();
    let completions = trace
        .requests
        .iter()
        .filter(|it| trace.header.classes[usize::from(it.class)].work == Work::Completion);
    let uncached = |it: &crate::trace::Request| it.prompt_tokens - it.prefix_tokens;
    let prefill: f64 = completions.map(|it| speed.min_work(uncached(it), 0)).sum();
    let total: f64 = trace.requests.iter().map(|it| weight(trace, it)).sum();
    let cached: f64 = trace.requests.iter().map(|it| speed.min_work(it.prefix_tokens, 0)).sum();
    let share = prefill / (total - cached).max(1.0);
    let data_centres = trace.header.deployment.data_centres.len();
    ((share * engines as f64).round() as usize).clamp(data_centres, engines - data_centres)
}

/// Roles of all engines: the first `prefill` engines prefill, the others decode.
pub(super) fn split_roles(trace: &Trace, prefill: usize) -> Vec<Role> {
    // Consecutive engines are in different data centres, so that both roles are spread over the data centres.
    let engines = trace.header.deployment.engines.len();
    (0..engines).map(|it| if it < prefill { Role::Prefill } else { Role::Decode }).collect()
}
