//! Weight loads that are under way in the region.

use std::collections::BTreeMap;

use daisychute_core::{DesiredState, EndpointName, EngineTarget, Plan};

/// What engines were last said to be.
#[derive(Debug, Default)]
pub(super) struct Observations {
    engines: BTreeMap<EndpointName, Option<EngineTarget>>,
}

impl Observations {
    pub(super) fn observed(&mut self, endpoint: EndpointName, target: Option<EngineTarget>) {
        self.engines.insert(endpoint, target);
    }

    pub(super) fn gone(&mut self, endpoint: &EndpointName) {
        self.engines.remove(endpoint);
    }

    /// Whether giving an engine this target makes it load weights, as far as is known.
    pub(super) fn needs_load(&self, endpoint: &EndpointName, target: &EngineTarget) -> bool {
        match self.engines.get(endpoint) {
            Some(Some(present)) => !same_weights(present, target),
            Some(None) | None => true,
        }
    }

    /// Whether an engine may be loading what the plan wants of it. An engine that was not heard of counts while
    /// `count_unknown` is set.
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

    /// How many engines may be loading what the plan wants of them.
    pub(super) fn loading(&self, plan: &Plan, count_unknown: bool) -> usize {
        let loading =
            plan.endpoints.iter().filter(|it| self.may_be_loading(it.0, it.1, count_unknown));
        loading.count()
    }
}

fn same_weights(present: &EngineTarget, target: &EngineTarget) -> bool {
    present.model == target.model
        && present.version == target.version
        && present.adapter == target.adapter
}
