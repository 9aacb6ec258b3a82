//! Estimates how many engines of the region are loading weights.

use std::collections::BTreeMap;

use daisychute_core::{DesiredState, EndpointName, EngineTarget, Plan};

/// Last reported target of each engine; `None` while the engine is being reconfigured.
#[derive(Debug, Default)]
pub(super) struct Observations {
    engines: BTreeMap<EndpointName, Option<EngineTarget>>,
}

impl Observations {
    pub(super) fn update(&mut self, endpoint: EndpointName, target: Option<EngineTarget>) {
        self.engines.insert(endpoint, target);
    }

    pub(super) fn remove(&mut self, endpoint: &EndpointName) {
        self.engines.remove(endpoint);
    }

    /// Whether switching an engine to `target` loads weights. Assumed for an engine that is being reconfigured or was
    /// never reported.
    pub(super) fn needs_load(&self, endpoint: &EndpointName, target: &EngineTarget) -> bool {
        match self.engines.get(endpoint) {
            Some(Some(current)) => !same_weights(current, target),
            Some(None) | None => true,
        }
    }

    /// Whether an engine may be loading the weights of its planned target. An engine that was never reported counts
    /// only if `count_unknown` is set.
    pub(super) fn may_be_loading(
        &self,
        endpoint: &EndpointName,
        desired: &DesiredState,
        count_unknown: bool,
    ) -> bool {
        let Some(target) = &desired.target else { return false };
        match self.engines.contains_key(endpoint) {
            true => self.needs_load(endpoint, target),
            false => count_unknown,
        }
    }

    /// Number of engines that may be loading the weights of their planned target.
    pub(super) fn loading(&self, plan: &Plan, count_unknown: bool) -> usize {
        let loading =
            plan.endpoints.iter().filter(|it| self.may_be_loading(it.0, it.1, count_unknown));
        loading.count()
    }
}

fn same_weights(current: &EngineTarget, target: &EngineTarget) -> bool {
    current.model == target.model
        && current.version == target.version
        && current.adapter == target.adapter
}
