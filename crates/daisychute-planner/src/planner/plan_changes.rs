//! Wishes and drain requests that the plan doesn't carry yet.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{EndpointName, EngineTarget, Plan, Revision};

use super::PlanChange;
use super::loads::Observations;

#[derive(Debug)]
struct RequestedTarget {
    endpoint: EndpointName,
    target: EngineTarget,
}

/// What is wished of the plan.
#[derive(Debug, Default)]
pub(super) struct RequestedChanges {
    // Invariant: at most one for each endpoint, the longest waiting first.
    targets: Vec<RequestedTarget>,
    drains: BTreeMap<EndpointName, bool>,
    /// Drain requests of operators; none until they have been listed.
    requests: Option<BTreeSet<EndpointName>>,
}

/// How many weight loads may be under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadLimit {
    pub(super) max: usize,
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

    pub(super) fn set_requests(&mut self, requests: BTreeSet<EndpointName>) {
        self.requests = Some(requests);
    }

    /// Drops the wishes for an endpoint that is no longer there.
    pub(super) fn gone(&mut self, endpoint: &EndpointName) {
        self.targets.retain(|it| it.endpoint != *endpoint);
        self.drains.remove(endpoint);
    }

    /// Puts into `plan`, which is of `revision`, what may be changed now. Returns whether anything changed.
    pub(super) fn apply(
        &self,
        plan: &mut Plan,
        revision: Revision,
        seen: &Observations,
        limit: LoadLimit,
    ) -> bool {
        let drained = self.apply_drains(plan, revision);
        let targeted = self.apply_targets(plan, revision, seen, limit);
        drained || targeted
    }

    fn apply_drains(&self, plan: &mut Plan, revision: Revision) -> bool {
        let Some(requests) = &self.requests else { return false };
        let mut changed = false;
        let named: BTreeSet<_> =
            plan.endpoints.keys().chain(requests).chain(self.drains.keys()).cloned().collect();
        for endpoint in named {
            let requested = self.drains.get(&endpoint).copied().unwrap_or(false);
            let drain = requested || requests.contains(&endpoint);
            let known = plan.endpoints.get(&endpoint).is_some_and(|it| it.drain);
            if drain != known {
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
        seen: &Observations,
        limit: LoadLimit,
    ) -> bool {
        let mut loading = seen.loading(plan, limit.count_unknown);
        let mut changed = false;
        for change in &self.targets {
            let entry = plan.endpoints.get(&change.endpoint);
            if entry.is_some_and(|it| it.target.as_ref() == Some(&change.target)) {
                continue;
            }
            let counted = entry
                .is_some_and(|it| seen.may_be_loading(&change.endpoint, it, limit.count_unknown));
            if seen.needs_load(&change.endpoint, &change.target) && !counted {
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
