//! The role planner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, ModelName, Preference, Role, Time};

use super::demand::DemandTable;
use super::supply::Supply;
use super::track::{Need, Track};
use crate::cost::RobustMean;

/// What the planner knows of one engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineView {
    /// Its name.
    pub endpoint: EndpointName,
    /// Where it is.
    pub data_centre: DataCentreName,
    /// The model that it serves.
    pub model: ModelName,
    /// Its role, or the role that it is changing to.
    pub role: Role,
    /// Whether a change is in progress or planned.
    pub changing: bool,
    /// Whether it takes work, or will after its change.
    pub live: bool,
    /// Requests that it has.
    pub running: u32,
    /// Engine-seconds that computing its cached prefixes again would take.
    pub cache_seconds: f64,
}

/// The engines of one region.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<EngineView>,
}

/// One engine changes its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// The engine.
    pub endpoint: EndpointName,
    /// Its role afterwards.
    pub role: Role,
}

/// Plans role changes.
///
/// A change is planned where the work that it is expected to save, over the time that the mix is likely to last,
/// outweighs the engine-seconds of the change, the caches that it drops and a price that the deployment's
/// preference sets. Both phases keep engines in two data centres where there are enough.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    preference: Preference,
    tracks: BTreeMap<ModelName, Track>,
    // Seconds that a change takes, with its drain.
    change: RobustMean,
    pending: BTreeMap<EndpointName, Time>,
}

impl RolePlanner {
    /// Older demand is no ground for a change.
    const MAX_DEMAND_AGE: Duration = Duration::from_secs(10);
    /// Demand of fewer of its sources is no ground for a change.
    const MIN_COVERAGE: f64 = 0.6;
    const DEFAULT_CHANGE_SECONDS: f64 = 10.0;
    /// One change at a time for so many engines of a model.
    const ENGINES_PER_CHANGE: usize = 12;

    /// A planner that knows no demand yet.
    #[must_use]
    pub fn new(preference: Preference) -> Self {
        Self {
            preference,
            tracks: BTreeMap::new(),
            change: RobustMean::new(Self::DEFAULT_CHANGE_SECONDS),
            pending: BTreeMap::new(),
        }
    }

    /// What the deployment weighs more.
    #[must_use]
    pub fn preference(&self) -> Preference {
        self.preference
    }

    /// The changes to start now.
    ///
    /// An old or partial picture of the demand gives only the changes that keep both phases served.
    pub fn plan(&mut self, now: Time, fleet: &Fleet, demand: &DemandTable) -> Vec<RoleChange> {
        self.follow_changes(now, fleet);
        let mut engines: Vec<EngineView> =
            fleet.engines.iter().filter(|it| it.live).cloned().collect();
        let mut changes = repair(&mut engines);
        let is_known = now.since(demand.as_of) <= Self::MAX_DEMAND_AGE
            && demand.coverage() >= Self::MIN_COVERAGE;
        if is_known {
            for (model, it) in &demand.models {
                let track = self.tracks.entry(model.clone()).or_insert_with(|| Track::new(now));
                track.add(now, *it, peak_memory(self.preference));
                changes.extend(self.plan_model(now, model, &mut engines));
            }
        }
        self.pending.extend(changes.iter().map(|it| (it.endpoint.clone(), now)));
        changes
    }

    /// Learns how long changes take.
    fn follow_changes(&mut self, now: Time, fleet: &Fleet) {
        for engine in &fleet.engines {
            if engine.changing || !engine.live {
                continue;
            }
            if let Some(since) = self.pending.remove(&engine.endpoint) {
                self.change.add(now.since(since).as_secs_f64());
            }
        }
    }

    fn plan_model(
        &mut self,
        now: Time,
        model: &ModelName,
        engines: &mut [EngineView],
    ) -> Vec<RoleChange> {
        let Some(track) = self.tracks.get_mut(model) else { return Vec::new() };
        let count = engines.iter().filter(|it| it.model == *model).count();
        let in_flight = engines.iter().filter(|it| it.model == *model && it.changing).count();
        let allowed = match self.preference {
            Preference::Goodput => (count / Self::ENGINES_PER_CHANGE).max(1),
            Preference::FewRoleChanges => 1,
        };
        let need = track.need(count as f64);
        let supply = Supply::of(engines.iter().filter(|it| it.model == *model));
        let (prefill, decode) = supply.utilization(need);
        let dwell = track.lean(now, prefill, decode);
        let mut changes = Vec::new();
        for _ in in_flight..allowed {
            let Some((place, role)) = self.best(model, engines, need, dwell) else { break };
            engines[place].role = role;
            engines[place].changing = true;
            changes.push(RoleChange { endpoint: engines[place].endpoint.clone(), role });
        }
        changes
    }

    /// The change with the greatest gain, if any gains.
    fn best(
        &self,
        model: &ModelName,
        engines: &[EngineView],
        need: Need,
        dwell: f64,
    ) -> Option<(usize, Role)> {
        let supply = Supply::of(engines.iter().filter(|it| it.model == *model));
        let mut best: Option<(f64, usize, Role)> = None;
        // Engines of one data centre and role differ only in what their own change costs.
        let mut saved: BTreeMap<(&DataCentreName, Role), [Option<f64>; 2]> = BTreeMap::new();
        for (place, engine) in engines.iter().enumerate() {
            if engine.model != *model || engine.changing {
                continue;
            }
            let group = saved.entry((&engine.data_centre, engine.role)).or_insert_with(|| {
                CHOICES.map(|role| self.saved(engines, &supply, place, role, need, dwell))
            });
            let cost = engine.cache_seconds + disturbance(engine) + price(self.preference);
            for (role, saved) in CHOICES.into_iter().zip(group) {
                let Some(saved) = saved else { continue };
                let gain = *saved - cost;
                if gain > best.map_or(0.0, |(gain, _, _)| gain) {
                    best = Some((gain, place, role));
                }
            }
        }
        best.map(|(_, place, role)| (place, role))
    }

    /// Engine-seconds of work that a change saves, less those that the engine doesn't do meanwhile; none where the
    /// change may not be.
    fn saved(
        &self,
        engines: &[EngineView],
        supply: &Supply,
        place: usize,
        role: Role,
        need: Need,
        dwell: f64,
    ) -> Option<f64> {
        let engine = &engines[place];
        if role == engine.role || !keeps_floor(engines, place, role) {
            return None;
        }
        let before = supply.loss(need);
        let without = supply.with(engine, engine.role, -1.0);
        let after = without.with(engine, role, 1.0);
        let missed = (without.loss(need) - before).max(0.0) * self.change.get();
        Some((before - after.loss(need)) * dwell - missed)
    }
}

/// The roles that a change may give. An engine of mixed role serves urgent work badly; only repairs make one.
const CHOICES: [Role; 2] = [Role::Prefill, Role::Decode];

/// Engine-seconds that a change is charged beside what it costs.
const fn price(preference: Preference) -> f64 {
    match preference {
        Preference::Goodput => 20.0,
        Preference::FewRoleChanges => 200.0,
    }
}

/// Seconds for which a peak of demand is remembered.
const fn peak_memory(preference: Preference) -> f64 {
    match preference {
        Preference::Goodput => 60.0,
        Preference::FewRoleChanges => 240.0,
    }
}

/// Engine-seconds for each request that a drain has to wait for, so that among equals the least loaded engine goes.
fn disturbance(engine: &EngineView) -> f64 {
    f64::from(engine.running) * 0.01
}

/// Whether both phases keep their floor after a change of this engine: an engine each, and two in different data
/// centres where there are enough engines, so that the loss of one data centre leaves both phases served.
fn keeps_floor(engines: &[EngineView], place: usize, role: Role) -> bool {
    let own = &engines[place];
    let peers = engines.iter().enumerate().filter(|(_, it)| it.model == own.model);
    let roles: Vec<(Role, &DataCentreName)> = peers
        .map(|(other, it)| (if other == place { role } else { it.role }, &it.data_centre))
        .collect();
    serves_both(&roles)
}

fn serves_both(engines: &[(Role, &DataCentreName)]) -> bool {
    const ENOUGH: usize = 4;
    let spread = |unfit: Role| {
        let fit = engines.iter().filter(|(role, _)| *role != unfit).map(|(_, it)| *it);
        fit.collect::<BTreeSet<_>>().len()
    };
    let data_centres = engines.iter().map(|(_, it)| *it).collect::<BTreeSet<_>>().len();
    let floor = if engines.len() >= ENOUGH { data_centres.min(2) } else { 1 };
    spread(Role::Decode) >= floor && spread(Role::Prefill) >= floor
}

/// Gives each model that lost its last engine of a phase one that serves it.
fn repair(engines: &mut [EngineView]) -> Vec<RoleChange> {
    let mut models: BTreeMap<ModelName, Vec<usize>> = BTreeMap::new();
    for (place, it) in engines.iter().enumerate() {
        models.entry(it.model.clone()).or_default().push(place);
    }
    let mut changes = Vec::new();
    for places in models.values() {
        if let Some((place, role)) = repair_model(engines, places) {
            engines[place].role = role;
            engines[place].changing = true;
            changes.push(RoleChange { endpoint: engines[place].endpoint.clone(), role });
        }
    }
    changes
}

/// The change that a model needs most where a phase of it is not served.
fn repair_model(engines: &[EngineView], places: &[usize]) -> Option<(usize, Role)> {
    let lacks = |unfit: Role| places.iter().all(|it| engines[*it].role == unfit);
    let role = match (lacks(Role::Prefill), lacks(Role::Decode)) {
        (false, false) => return None,
        _ if places.len() == 1 => Role::Mixed,
        (true, _) => Role::Decode,
        (_, true) => Role::Prefill,
    };
    let free = places.iter().copied().filter(|it| !engines[*it].changing);
    let least = free.min_by_key(|it| (engines[*it].running, engines[*it].endpoint.clone()));
    least.map(|place| (place, role))
}
