//! The capacity of a model's engines, and the work of a given demand that they would lose.

use std::collections::BTreeMap;

use daisychute_core::{DataCentreName, Role};

use super::demand_trend::RequiredEngines;
use super::planner::EngineView;

/// Number of engines of each role in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RoleCounts {
    prefill: f64,
    decode: f64,
    mixed: f64,
}

/// Number of engines of each role by data centre.
///
/// Disaggregated serving pairs prefill and decode engines, within a data centre first because KV cache transfers are
/// faster there.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct EngineCapacity {
    data_centres: BTreeMap<DataCentreName, RoleCounts>,
}

impl EngineCapacity {
    /// Utilization up to which no work is lost to waiting.
    const LOSS_FREE_UTILIZATION: f64 = 0.7;
    /// Share of the work that is lost to waiting at a utilization of one.
    const WAITING_LOSS_AT_FULL: f64 = 0.5;
    /// Weight of deferrable work that finds no free engine. It counts less than urgent work because it can wait until
    /// the mix changes.
    const DEFERRABLE_WEIGHT: f64 = 0.4;
    /// Share of a mixed engine that urgent work can use, because prefills raise the inter-token latency of streams.
    const MIXED_URGENT_SHARE: f64 = 0.3;

    /// Throughput of an engine pair in two data centres, relative to a pair in one.
    const CROSS_DC_PAIR_FACTOR: f64 = 0.9;

    /// The capacity of these engines in their present roles.
    pub(super) fn of_engines<'a>(engines: impl Iterator<Item = &'a EngineView>) -> Self {
        engines.fold(Self::default(), |sum, it| sum.with_engines(it, it.role, 1.0))
    }

    /// Returns the capacity with `count` more engines of this role in the data centre of `engine`; `count` may be
    /// negative.
    pub(super) fn with_engines(&self, engine: &EngineView, role: Role, count: f64) -> Self {
        let mut capacity = self.clone();
        let roles = capacity.data_centres.entry(engine.data_centre.clone()).or_default();
        match role {
            Role::Prefill => roles.prefill += count,
            Role::Decode => roles.decode += count,
            Role::Mixed => roles.mixed += count,
        }
        capacity
    }

    /// Utilization of prefill and of decode engines by the urgent work.
    pub(super) fn utilization(&self, required: RequiredEngines) -> (f64, f64) {
        let sum =
            |count: fn(&RoleCounts) -> f64| self.data_centres.values().map(count).sum::<f64>();
        let mixed = Self::MIXED_URGENT_SHARE * sum(|it| it.mixed);
        let prefill = sum(|it| it.prefill) + mixed;
        let decode = sum(|it| it.decode) + mixed;
        (required.prefill / prefill.max(1e-6), required.decode / decode.max(1e-6))
    }

    /// Work that misses its target, in engine-seconds per second.
    pub(super) fn loss(&self, required: RequiredEngines) -> f64 {
        let urgent = required.prefill + required.decode;
        let capacity = self.urgent_capacity(required);
        let mixed: f64 = self.data_centres.values().map(|it| it.mixed).sum();
        let spare = (capacity - urgent).max(0.0) + mixed;
        let deferred = (required.deferrable - spare).max(0.0) * Self::DEFERRABLE_WEIGHT;
        waiting_loss(urgent, capacity) + deferred
    }

    /// Urgent work that the engines can do in the prefill/decode ratio of this demand, in engine-seconds per second.
    fn urgent_capacity(&self, required: RequiredEngines) -> f64 {
        let total = required.prefill + required.decode;
        if total <= 0.0 {
            return f64::INFINITY;
        }
        let (prefill_share, decode_share) = (required.prefill / total, required.decode / total);
        let mut capacity = 0.0;
        let mut spare = RoleCounts::default();
        for it in self.data_centres.values() {
            let pairs =
                (it.prefill / prefill_share.max(1e-6)).min(it.decode / decode_share.max(1e-6));
            capacity += pairs + Self::MIXED_URGENT_SHARE * it.mixed;
            spare.prefill += (it.prefill - pairs * prefill_share).max(0.0);
            spare.decode += (it.decode - pairs * decode_share).max(0.0);
        }
        let cross_dc_pairs =
            (spare.prefill / prefill_share.max(1e-6)).min(spare.decode / decode_share.max(1e-6));
        capacity + Self::CROSS_DC_PAIR_FACTOR * cross_dc_pairs
    }
}

/// Returns the urgent work that is lost. Work beyond the capacity is lost entirely; close to the capacity, waits grow
/// and a share of the work misses its target.
fn waiting_loss(required: f64, capacity: f64) -> f64 {
    if required <= 0.0 {
        return 0.0;
    }
    let excess = (required - capacity).max(0.0);
    let utilization = required / capacity.max(1e-6);
    let overload = ((utilization - EngineCapacity::LOSS_FREE_UTILIZATION)
        / (1.0 - EngineCapacity::LOSS_FREE_UTILIZATION))
        .clamp(0.0, 1.0);
    excess + EngineCapacity::WAITING_LOSS_AT_FULL * required.min(capacity) * overload * overload
}
