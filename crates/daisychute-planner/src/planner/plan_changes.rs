//! Changes requested by policies and drains requested by operators, and how they are applied to the plan.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{EndpointName, EngineTarget, Plan, Revision};

use super::PlanChange;
use super::weight_loads::Observations;

#[derive(Debug)]
struct RequestedTarget {
    endpoint: EndpointName,
    target: EngineTarget,
}

/// Requests of policies and operators, kept by endpoint and reapplied to every plan of one lease.
#[derive(Debug, Default)]
pub(super) struct RequestedChanges {
    // Invariant: at most one per endpoint, oldest request first.
    targets: Vec<RequestedTarget>,
    /// Drains requested by policies.
    drains: BTreeMap<EndpointName, bool>,
    /// Endpoints that operators want drained; `None` until the drain requests were first read under the lease.
    operator_drains: Option<BTreeSet<EndpointName>>,
}

/// Limit on the engines that load weights at the same time.
#[derive(Debug, Clone, Copy)]
pub(super) struct WeightLoadLimit {
    pub(super) max: usize,
    /// Whether a planned engine that was never reported counts as loading.
    pub(super) count_unknown: bool,
}

impl RequestedChanges {
    pub(super) fn add(&mut self, change: PlanChange) {
        match change {
            PlanChange::Target { endpoint, target } => self.add_target(endpoint, target),
            PlanChange::Drain { endpoint, drain } => {
                self.drains.insert(endpoint, drain);
            }
        }
    }

    fn add_target(&mut self, endpoint: EndpointName, target: EngineTarget) {
        match self.targets.iter_mut().find(|it| it.endpoint == endpoint) {
            Some(change) => change.target = target,
            None => self.targets.push(RequestedTarget { endpoint, target }),
        }
    }

    pub(super) fn set_operator_drains(&mut self, operator_drains: BTreeSet<EndpointName>) {
        self.operator_drains = Some(operator_drains);
    }

    /// Drops the policies' requests for an endpoint that was removed.
    pub(super) fn remove(&mut self, endpoint: &EndpointName) {
        self.targets.retain(|it| it.endpoint != *endpoint);
        self.drains.remove(endpoint);
    }

    /// Applies the requests that are allowed now to `plan`, which will be committed as `revision`. Returns whether the
    /// plan changed.
    pub(super) fn apply(
        &self,
        plan: &mut Plan,
        revision: Revision,
        observations: &Observations,
        limit: WeightLoadLimit,
    ) -> bool {
        let drained = self.apply_drains(plan, revision);
        let targeted = self.apply_targets(plan, revision, observations, limit);
        drained || targeted
    }

    fn apply_drains(&self, plan: &mut Plan, revision: Revision) -> bool {
        let Some(operator_drains) = &self.operator_drains else { return false };
        let mut changed = false;
        let endpoints: BTreeSet<_> = plan
            .endpoints
            .keys()
            .chain(operator_drains)
            .chain(self.drains.keys())
            .cloned()
            .collect();
        for endpoint in endpoints {
            let requested_by_policy = self.drains.get(&endpoint).copied().unwrap_or(false);
            let drain = requested_by_policy || operator_drains.contains(&endpoint);
            let planned = plan.endpoints.get(&endpoint).is_some_and(|it| it.drain);
            if drain != planned {
                let entry = plan.endpoints.entry(endpoint).or_default();
                entry.drain = drain;
                entry.since = revision;
                changed = true;
            }
        }
        changed
    }

    fn apply_targets(
        &self,
        plan: &mut Plan,
        revision: Revision,
        observations: &Observations,
        limit: WeightLoadLimit,
    ) -> bool {
        let mut loading = observations.loading(plan, limit.count_unknown);
        let mut changed = false;
        for change in &self.targets {
            let entry = plan.endpoints.get(&change.endpoint);
            if entry.is_some_and(|it| it.target.as_ref() == Some(&change.target)) {
                continue;
            }
            let already_counted = entry.is_some_and(|it| {
                observations.may_be_loading(&change.endpoint, it, limit.count_unknown)
            });
            if observations.needs_load(&change.endpoint, &change.target) && !already_counted {
                if loading >= limit.max {
                    continue;
                }
                loading += 1;
            }
            let entry = plan.endpoints.entry(change.endpoint.clone()).or_default();
            entry.target = Some(change.target.clone());
            entry.since = revision;
            changed = true;
        }
        changed
    }
}
