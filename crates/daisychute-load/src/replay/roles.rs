//! Role policies: ours behind a trait, and the baselines.

use daisychute_core::{Role, Time};
use daisychute_policy::{Demand, DemandTable, Fleet, RoleChange, RolePlanner};

use super::report::weight;
use crate::trace::{Trace, Work};

/// Decides role changes.
pub(super) trait Roles {
    fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange>;
}

impl Roles for RolePlanner {
    fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        Self::plan(self, now, fleet, demand)
    }
}

/// Never changes a role.
#[derive(Debug, Clone, Copy)]
pub(super) struct Static;

impl Roles for Static {
    fn plan(&mut self, _now: Time, _fleet: &Fleet, _demand: &DemandTable) -> Vec<RoleChange> {
        Vec::new()
    }
}

/// Changes one engine when one phase was above the upper threshold and the other below the lower one for some
/// rounds in a row, and then rests.
#[derive(Debug, Clone, Default)]
pub(super) struct Threshold {
    rounds: i32,
    rest: u32,
}

impl Threshold {
    const HIGH: f64 = 0.8;
    const LOW: f64 = 0.6;
    const ROUNDS: i32 = 2;
    const REST: u32 = 2;
}

impl Roles for Threshold {
    fn plan(&mut self, _now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        let total = demand.models.values().fold(Demand::default(), |sum, it| sum.plus(*it));
        let count =
            |role: Role| fleet.engines.iter().filter(|it| it.live && it.role == role).count();
        let prefill = (total.prefill + total.deferrable / 2.0) / count(Role::Prefill).max(1) as f64;
        let decode = (total.decode + total.deferrable / 2.0) / count(Role::Decode).max(1) as f64;
        self.rounds = if prefill > Self::HIGH && decode < Self::LOW {
            self.rounds.max(0) + 1
        } else if decode > Self::HIGH && prefill < Self::LOW {
            self.rounds.min(0) - 1
        } else {
            0
        };
        self.rest = self.rest.saturating_sub(1);
        if self.rounds.abs() < Self::ROUNDS || self.rest > 0 {
            return Vec::new();
        }
        let (from, to) = if self.rounds > 0 {
            (Role::Decode, Role::Prefill)
        } else {
            (Role::Prefill, Role::Decode)
        };
        self.rest = Self::REST;
        change(fleet, from, to).into_iter().collect()
    }
}

/// The least loaded engine of a role in a data centre that keeps another of it.
fn change(fleet: &Fleet, from: Role, to: Role) -> Option<RoleChange> {
    let peers = |it: &daisychute_policy::EngineView| {
        let same = |other: &&daisychute_policy::EngineView| {
            other.live
                && !other.changing
                && other.role == from
                && other.data_centre == it.data_centre
        };
        fleet.engines.iter().filter(same).count()
    };
    let open = fleet.engines.iter().filter(|it| it.live && !it.changing && it.role == from);
    let spare = open.filter(|it| peers(it) > 1);
    let least = spare.min_by_key(|it| (it.running, it.endpoint.clone()))?;
    Some(RoleChange { endpoint: least.endpoint.clone(), role: to })
}

/// Prefill engines that fit the mean mix of the whole trace.
pub(super) fn static_prefill(trace: &Trace) -> usize {
    let speed = trace.header.deployment.speed;
    let engines = trace.header.deployment.engines.len();
    let completions = trace
        .requests
        .iter()
        .filter(|it| trace.header.classes[usize::from(it.class)].work == Work::Completion);
    let uncached = |it: &crate::trace::Request| it.prompt_tokens - it.prefix_tokens;
    let prefill: f64 = completions.map(|it| speed.least_work(uncached(it), 0)).sum();
    let total: f64 = trace.requests.iter().map(|it| weight(trace, it)).sum();
    let cached: f64 = trace.requests.iter().map(|it| speed.least_work(it.prefix_tokens, 0)).sum();
    let share = prefill / (total - cached).max(1.0);
    let data_centres = trace.header.deployment.data_centres.len();
    ((share * engines as f64).round() as usize).clamp(data_centres, engines - data_centres)
}

/// Roles with so many prefill engines, spread over the data centres.
pub(super) fn split(trace: &Trace, prefill: usize) -> Vec<Role> {
    // Engines are listed in turn over the data centres, so that the first ones and the last ones are both spread.
    let engines = trace.header.deployment.engines.len();
    (0..engines).map(|it| if it < prefill { Role::Prefill } else { Role::Decode }).collect()
}
