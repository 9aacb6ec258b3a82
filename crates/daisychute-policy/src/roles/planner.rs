//! Plans which engines change their role.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, ModelName, Preference, Role, Time};

use super::demand::DemandTable;
use super::demand_trend::{DemandTrend, RequiredEngines};
use super::engine_capacity::EngineCapacity;
use crate::cost::RobustMean;

/// The properties of one engine that role planning depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Unique name of the engine.
    pub endpoint: EndpointName,
    /// The data centre that the engine runs in.
    pub data_centre: DataCentreName,
    /// The model that the engine serves.
    pub model: ModelName,
    /// The engine's role, or the role that it is changing to.
    pub role: Role,
    /// Whether a role change of the engine is planned or in progress.
    pub changing: bool,
    /// Whether the engine accepts requests, or will after its role change.
    pub live: bool,
    /// Number of requests that the engine is running.
    pub running: u32,
    /// Engine-seconds needed to prefill the engine's cached prefixes again, which a role change drops.
    pub cache_seconds: f64,
}

/// The engines of one region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// Engines of all models, data centres and roles.
    pub engines: Vec<EngineView>,
}

/// A role change of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine that changes its role.
    pub endpoint: EndpointName,
    /// The engine's role after the change.
    pub role: Role,
}

/// Plans role changes.
///
/// A change is planned if the work that it is expected to save, over the time that the mix is likely to last,
/// outweighs the engine-seconds lost during the change, the dropped prefix caches, and a fixed price set by the
/// deployment's preference. Both phases keep engines in two data centres if there are enough engines.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    preference: Preference,
    trends: BTreeMap<ModelName, DemandTrend>,
    // Mean seconds that a change takes, including the drain.
    change_seconds: RobustMean,
    // When each unfinished change was planned, by engine.
    pending_changes: BTreeMap<EndpointName, Time>,
}

impl RolePlanner {
    /// Maximum age of the demand; older demand causes no changes.
    const MAX_DEMAND_AGE: Duration = Duration::from_secs(10);
    /// Minimum share of the sources in the demand; demand of fewer sources causes no changes.
    const MIN_COVERAGE: f64 = 0.6;
    /// Expected seconds of a change before one has finished.
    const DEFAULT_CHANGE_SECONDS: f64 = 10.0;
    /// Number of engines of a model for which one concurrent change is allowed, under [`Preference::Goodput`].
    const ENGINES_PER_CHANGE: usize = 12;

    /// Creates a planner without any demand history.
    #[must_use]
    pub fn new(preference: Preference) -> Self {
        Self {
            preference,
            trends: BTreeMap::new(),
            change_seconds: RobustMean::new(Self::DEFAULT_CHANGE_SECONDS),
            pending_changes: BTreeMap::new(),
        }
    }

    /// Returns the deployment's preference: goodput or few role changes.
    #[must_use]
    pub fn preference(&self) -> Preference {
        self.preference
    }

    /// Returns the role changes to start now.
    ///
    /// If the demand is stale or incomplete, these are only the changes that keep both phases served.
    pub fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        self.record_finished_changes(now, fleet);
        let mut engines: Vec<EngineView> =
            fleet.engines.iter().filter(|it| it.live).cloned().collect();
        let mut changes = restore_phases(&mut engines);
        let is_demand_usable = now.since(demand.as_of) <= Self::MAX_DEMAND_AGE
            && demand.coverage() >= Self::MIN_COVERAGE;
        if is_demand_usable {
            for (model, it) in &demand.models {
                let trend =
                    self.trends.entry(model.clone()).or_insert_with(|| DemandTrend::new(now));
                trend.add(now, *it, peak_memory_seconds(self.preference));
                changes.extend(self.plan_model(now, model, &mut engines));
            }
        }
        self.pending_changes.extend(changes.iter().map(|it| (it.endpoint.clone(), now)));
        changes
    }

    /// Learns how long changes take from those that have finished.
    fn record_finished_changes(&mut self, now: Time, fleet: &Fleet) {
        for engine in &fleet.engines {
            if engine.changing || !engine.live {
                continue;
            }
            if let Some(planned_at) = self.pending_changes.remove(&engine.endpoint) {
                self.change_seconds.add(now.since(planned_at).as_secs_f64());
            }
        }
    }

    /// Plans the changes of one model and applies them to `engines`.
    fn plan_model(
        &mut self,
        now: Time,
        model: &ModelName,
        engines: &mut [EngineView],
    ) -> Vec<RoleChange> {
        let Some(trend) = self.trends.get_mut(model) else { return Vec::new() };
        let count = engines.iter().filter(|it| it.model == *model).count();
        let in_flight = engines.iter().filter(|it| it.model == *model && it.changing).count();
        let allowed = match self.preference {
            Preference::Goodput => (count / Self::ENGINES_PER_CHANGE).max(1),
            Preference::FewRoleChanges => 1,
        };
        let required = trend.required_engines(count as f64);
        let capacity = EngineCapacity::of_engines(engines.iter().filter(|it| it.model == *model));
        let (prefill, decode) = capacity.utilization(required);
        let bias_seconds = trend.update_bias(now, prefill, decode);
        let mut changes = Vec::new();
        for _ in in_flight..allowed {
            let Some((index, role)) = self.best_change(model, engines, required, bias_seconds)
            else {
                break;
            };
            engines[index].role = role;
            engines[index].changing = true;
            changes.push(RoleChange { endpoint: engines[index].endpoint.clone(), role });
        }
        changes
    }

    /// Returns the change with the highest gain, `None` if no change has a positive gain.
    fn best_change(
        &self,
        model: &ModelName,
        engines: &[EngineView],
        required: RequiredEngines,
        bias_seconds: f64,
    ) -> Option<(usize, Role)> {
        let capacity = EngineCapacity::of_engines(engines.iter().filter(|it| it.model == *model));
        let mut best: Option<(f64, usize, Role)> = None;
        // Engines of the same data centre and role save the same work and differ only in the cost of the change.
        let mut saved_by_group: BTreeMap<(&DataCentreName, Role), [Option<f64>; 2]> =
            BTreeMap::new();
        for (index, engine) in engines.iter().enumerate() {
            if engine.model != *model || engine.changing {
                continue;
            }
            let saved_by_role =
                saved_by_group.entry((&engine.data_centre, engine.role)).or_insert_with(|| {
                    TARGET_ROLES.map(|role| {
                        self.saved_work(engines, &capacity, index, role, required, bias_seconds)
                    })
                });
            let cost = engine.cache_seconds + drain_cost(engine) + change_price(self.preference);
            for (role, saved) in TARGET_ROLES.into_iter().zip(saved_by_role) {
                let Some(saved) = saved else { continue };
                let gain = *saved - cost;
                if gain > best.map_or(0.0, |(gain, _, _)| gain) {
                    best = Some((gain, index, role));
                }
            }
        }
        best.map(|(_, index, role)| (index, role))
    }

    /// Returns the engine-seconds of work that a change saves, minus the work that the engine can't do during the
    /// change; `None` if the change isn't allowed.
    fn saved_work(
        &self,
        engines: &[EngineView],
        capacity: &EngineCapacity,
        index: usize,
        role: Role,
        required: RequiredEngines,
        bias_seconds: f64,
    ) -> Option<f64> {
        let engine = &engines[index];
        if role == engine.role || !keeps_min_engines(engines, index, role) {
            return None;
        }
        let loss_before = capacity.loss(required);
        let without = capacity.with_engines(engine, engine.role, -1.0);
        let after = without.with_engines(engine, role, 1.0);
        let lost_during_change =
            (without.loss(required) - loss_before).max(0.0) * self.change_seconds.get();
        Some((loss_before - after.loss(required)) * bias_seconds - lost_during_change)
    }
}

/// The roles that a planned change may assign. Mixed engines serve urgent work badly, so only
/// [`restore_phases`] assigns that role.
const TARGET_ROLES: [Role; 2] = [Role::Prefill, Role::Decode];

/// Engine-seconds that a change must gain on top of its costs.
const fn change_price(preference: Preference) -> f64 {
    match preference {
        Preference::Goodput => 20.0,
        Preference::FewRoleChanges => 200.0,
    }
}

/// Time constant in seconds with which peaks of demand decay.
const fn peak_memory_seconds(preference: Preference) -> f64 {
    match preference {
        Preference::Goodput => 60.0,
        Preference::FewRoleChanges => 240.0,
    }
}

/// Engine-seconds charged for the running requests that have to drain. The charge is small: it only selects the least
/// loaded among otherwise equal engines.
fn drain_cost(engine: &EngineView) -> f64 {
    f64::from(engine.running) * 0.01
}

/// Whether both phases keep their minimum of engines after a change of this engine: one each, or two in different data
/// centres if there are enough engines, so that both phases survive the loss of a data centre.
fn keeps_min_engines(engines: &[EngineView], index: usize, role: Role) -> bool {
    let engine = &engines[index];
    let same_model = engines.iter().enumerate().filter(|(_, it)| it.model == engine.model);
    let roles: Vec<(Role, &DataCentreName)> = same_model
        .map(|(other, it)| (if other == index { role } else { it.role }, &it.data_centre))
        .collect();
    serves_both_phases(&roles)
}

/// Whether engines with these roles and data centres keep the minimum of engines for both phases.
fn serves_both_phases(engines: &[(Role, &DataCentreName)]) -> bool {
    /// Number of engines from which each phase must be served in two data centres.
    const MIN_FOR_REDUNDANCY: usize = 4;
    // Number of data centres with an engine whose role isn't the excluded one.
    let count_data_centres_excluding = |excluded: Role| {
        let serving = engines.iter().filter(|(role, _)| *role != excluded).map(|(_, it)| *it);
        serving.collect::<BTreeSet<_>>().len()
    };
    let data_centres = engines.iter().map(|(_, it)| *it).collect::<BTreeSet<_>>().len();
    let min_data_centres =
        if engines.len() >= MIN_FOR_REDUNDANCY { data_centres.min(2) } else { 1 };
    count_data_centres_excluding(Role::Decode) >= min_data_centres
        && count_data_centres_excluding(Role::Prefill) >= min_data_centres
}

/// Changes one engine of each model that lost its last engine of a phase, so that the phase is served again.
fn restore_phases(engines: &mut [EngineView]) -> Vec<RoleChange> {
    let mut by_model: BTreeMap<ModelName, Vec<usize>> = BTreeMap::new();
    for (index, it) in engines.iter().enumerate() {
        by_model.entry(it.model.clone()).or_default().push(index);
    }
    let mut changes = Vec::new();
    for indices in by_model.values() {
        if let Some((index, role)) = restoring_change(engines, indices) {
            engines[index].role = role;
            engines[index].changing = true;
            changes.push(RoleChange { endpoint: engines[index].endpoint.clone(), role });
        }
    }
    changes
}

/// Returns the change that restores the missing phase of a model; `None` if both phases are served or no engine is
/// free to change.
fn restoring_change(engines: &[EngineView], indices: &[usize]) -> Option<(usize, Role)> {
    let all_have = |role: Role| indices.iter().all(|it| engines[*it].role == role);
    let role = match (all_have(Role::Prefill), all_have(Role::Decode)) {
        (false, false) => return None,
        _ if indices.len() == 1 => Role::Mixed,
        (true, _) => Role::Decode,
        (_, true) => Role::Prefill,
    };
    let unchanging = indices.iter().copied().filter(|it| !engines[*it].changing);
    let least_loaded =
        unchanging.min_by_key(|it| (engines[*it].running, engines[*it].endpoint.clone()));
    least_loaded.map(|index| (index, role))
}
