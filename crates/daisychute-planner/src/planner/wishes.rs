//! Wishes and drain requests that the plan doesn't carry yet.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::{EndpointName, EngineTarget, Plan, Revision};

use super::Wish;
use super::loads::Observations;

#[derive(Debug)]
struct TargetWish {
    endpoint: EndpointName,
    target: EngineTarget,
}

/// What is wished of the plan.
#[derive(Debug, Default)]
pub(super) struct Wishes {
    // Invariant: at most one for each endpoint, the longest waiting first.
    targets: Vec<TargetWish>,
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

impl Wishes {
    pub(super) fn add(&mut self, wish: Wish) {
        match wish {
            Wish::Target { endpoint, target } => self.add_target(endpoint, target),
            Wish::Drain { endpoint, drain } => {
                self.drains.insert(endpoint, drain);
            }
        }
    }

    fn add_target(&mut self, endpoint: EndpointName, target: EngineTarget) {
        match self.targets.iter_mut().find(|it| it.endpoint == endpoint) {
            Some(wish) => wish.target = target,
            None => self.targets.push(TargetWish { endpoint, target }),
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
            let wished = self.drains.get(&endpoint).copied().unwrap_or(false);
            let drain = wished || requests.contains(&endpoint);
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
        for wish in &self.targets {
            let entry = plan.endpoints.get(&wish.endpoint);
            if entry.is_some_and(|it| it.target.as_ref() == Some(&wish.target)) {
                continue;
            }
            let counted = entry
                .is_some_and(|it| seen.may_be_loading(&wish.endpoint, it, limit.count_unknown));
            if seen.needs_load(&wish.endpoint, &wish.target) && !counted {
                if loading >= limit.max {
                    continue;
                }
                loading += 1;
            }
            let entry = plan.endpoints.entry(wish.endpoint.clone()).or_default();
            entry.target = Some(wish.target.clone());
            entry.since = revision;
            changed = true;
        }
        changed
    }
}
