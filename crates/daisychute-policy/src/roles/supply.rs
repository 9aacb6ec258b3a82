//! What the engines of a model can do, and what a demand loses on them.

use std::collections::BTreeMap;

use daisychute_core::{DataCentreName, Role};

use super::planner::EngineView;
use super::track::Need;

/// Engines of each role in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Roles {
    prefill: f64,
    decode: f64,
    mixed: f64,
}

/// Engines of each role by data centre.
///
/// Split serving pairs engines, those of one data centre first because a KV cache moves faster there.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Supply {
    data_centres: BTreeMap<DataCentreName, Roles>,
}

impl Supply {
    /// Up to this utilization no work is lost to waiting.
    const EASY: f64 = 0.7;
    /// The part of the work that is lost to waiting as the utilization comes to one.
    const RISK: f64 = 0.5;
    /// Deferrable work that finds no engine counts less: it has time until the mix changes.
    const DEFERRABLE: f64 = 0.4;
    /// The part of a mixed engine that urgent work can use, because prompts stretch the gaps of streams.
    const MIXED_URGENT: f64 = 0.3;

    /// What a pair of engines in different data centres does of the work of a pair in one.
    const FAR: f64 = 0.9;

    pub(super) fn of<'a>(engines: impl Iterator<Item = &'a EngineView>) -> Self {
        engines.fold(Self::default(), |sum, it| sum.with(it, it.role, 1.0))
    }

    /// The same with `count` more engines of this role where `engine` is.
    pub(super) fn with(&self, engine: &EngineView, role: Role, count: f64) -> Self {
        let mut supply = self.clone();
        let roles = supply.data_centres.entry(engine.data_centre.clone()).or_default();
        match role {
            Role::Prefill => roles.prefill += count,
            Role::Decode => roles.decode += count,
            Role::Mixed => roles.mixed += count,
        }
        supply
    }

    /// Utilization of prefill and of decode.
    pub(super) fn utilization(&self, need: Need) -> (f64, f64) {
        let sum = |part: fn(&Roles) -> f64| self.data_centres.values().map(part).sum::<f64>();
        let mixed = Self::MIXED_URGENT * sum(|it| it.mixed);
        let prefill = sum(|it| it.prefill) + mixed;
        let decode = sum(|it| it.decode) + mixed;
        (need.prefill / prefill.max(1e-6), need.decode / decode.max(1e-6))
    }

    /// Engine-seconds of work that miss their target, for each second.
    pub(super) fn loss(&self, need: Need) -> f64 {
        let urgent = need.prefill + need.decode;
        let capacity = self.urgent_capacity(need);
        let mixed: f64 = self.data_centres.values().map(|it| it.mixed).sum();
        let spare = (capacity - urgent).max(0.0) + mixed;
        let deferred = (need.deferrable - spare).max(0.0) * Self::DEFERRABLE;
        waiting_loss(urgent, capacity) + deferred
    }

    /// Engine-seconds of urgent work in the ratio of this need that the engines can do in a second.
    fn urgent_capacity(&self, need: Need) -> f64 {
        let total = need.prefill + need.decode;
        if total <= 0.0 {
            return f64::INFINITY;
        }
        let (prefill, decode) = (need.prefill / total, need.decode / total);
        let mut capacity = 0.0;
        let mut spare = Roles::default();
        for it in self.data_centres.values() {
            let pairs = (it.prefill / prefill.max(1e-6)).min(it.decode / decode.max(1e-6));
            capacity += pairs + Self::MIXED_URGENT * it.mixed;
            spare.prefill += (it.prefill - pairs * prefill).max(0.0);
            spare.decode += (it.decode - pairs * decode).max(0.0);
        }
        let far = (spare.prefill / prefill.max(1e-6)).min(spare.decode / decode.max(1e-6));
        capacity + Self::FAR * far
    }
}

/// Work beyond what the engines can do is lost; near to it, waits grow and a part of the work is.
fn waiting_loss(need: f64, capacity: f64) -> f64 {
    if need <= 0.0 {
        return 0.0;
    }
    let over = (need - capacity).max(0.0);
    let utilization = need / capacity.max(1e-6);
    let strain = ((utilization - Supply::EASY) / (1.0 - Supply::EASY)).clamp(0.0, 1.0);
    over + Supply::RISK * need.min(capacity) * strain * strain
}
