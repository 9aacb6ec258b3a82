//! One endpoint of a replay with the agent's core before it.

use std::collections::BTreeMap;

use daisychute_core::{EndpointName, ModelName, Role};
use daisychute_policy::{AdmissionController, EngineView, Limits, RequestPhase};

use super::super::engine::Engine;
use super::super::report::Sample;
use crate::trace::{EngineSite, EngineSpeed};

/// One endpoint and its agent's core.
#[derive(Debug, Clone)]
pub(super) struct Site {
    pub(super) site: EngineSite,
    pub(super) admission: AdmissionController,
    /// None for a worker of the plain service.
    pub(super) engine: Option<Engine>,
    /// The phase that each request here is in, by its place in the trace.
    pub(super) phases: BTreeMap<usize, RequestPhase>,
    /// The role that is planned and not yet begun.
    pub(super) planned: Option<Role>,
    /// The role that it drains for or changes to.
    pub(super) draining: Option<Role>,
    pub(super) changing: bool,
    pub(super) lost: bool,
    pub(super) ticking: bool,
    /// Counts the starts of the engine, so that what an earlier one would have done is passed over.
    pub(super) epoch: u32,
}

impl Site {
    pub(super) fn engine(site: EngineSite, role: Role, speed: EngineSpeed) -> Self {
        let admission = AdmissionController::new(Limits::engine(role).streams(speed.streams));
        Self::new(site, admission, Some(Engine::new(role, speed)))
    }

    pub(super) fn service(site: EngineSite) -> Self {
        Self::new(site, AdmissionController::new(Limits::service()), None)
    }

    fn new(site: EngineSite, admission: AdmissionController, engine: Option<Engine>) -> Self {
        Self {
            site,
            admission,
            engine,
            phases: BTreeMap::new(),
            planned: None,
            draining: None,
            changing: false,
            lost: false,
            ticking: false,
            epoch: 0,
        }
    }

    pub(super) fn name(&self) -> &EndpointName {
        &self.site.endpoint
    }

    pub(super) fn is_closed(&self) -> bool {
        self.lost || self.draining.is_some()
    }

    pub(super) fn lose(&mut self) {
        self.lost = true;
        self.epoch += 1;
        self.phases.clear();
    }

    /// What the planner sees of an engine.
    pub(super) fn view(&self, model: &ModelName, prompt_token: f64) -> Option<EngineView> {
        let engine = self.engine.as_ref()?;
        let pending = self.draining.or(self.planned);
        Some(EngineView {
            endpoint: self.name().clone(),
            data_centre: self.site.data_centre.clone(),
            model: model.clone(),
            role: pending.unwrap_or(engine.role),
            changing: pending.is_some(),
            live: !self.lost,
            running: self.admission.running() as u32,
            cache_seconds: f64::from(engine.cached_tokens()) * prompt_token,
        })
    }

    /// Counts the endpoint in a sample.
    pub(super) fn count(&self, sample: &mut Sample) {
        let Some(engine) = &self.engine else { return };
        let counter = match engine.role {
            _ if self.is_closed() => &mut sample.away,
            Role::Prefill => &mut sample.prefill,
            Role::Decode => &mut sample.decode,
            Role::Mixed => &mut sample.mixed,
        };
        *counter += 1;
    }
}
