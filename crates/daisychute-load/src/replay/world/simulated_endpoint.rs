//! A simulated endpoint with the admission control of its agent.

use std::collections::BTreeMap;

use daisychute_core::{EndpointName, ModelName, Role};
use daisychute_policy::{AdmissionController, EngineView, Limits, RequestPhase};

use super::super::engine::Engine;
use super::super::report::Sample;
use crate::trace::{EndpointLocation, EngineSpeed};

/// A simulated endpoint with the admission control of its agent.
#[derive(Debug, Clone)]
pub(super) struct SimulatedEndpoint {
    /// Endpoint name and data centre.
    pub(super) location: EndpointLocation,
    pub(super) admission: AdmissionController,
    /// `None` for a worker of the plain service.
    pub(super) engine: Option<Engine>,
    /// Phase of each request that is queued or runs here, by its index in the trace.
    pub(super) phases: BTreeMap<usize, RequestPhase>,
    /// Role of the latest planned change; set until a change is done.
    pub(super) planned_role: Option<Role>,
    /// Role that a started change leads to; set until it is done.
    pub(super) next_role: Option<Role>,
    /// Whether the engine is drained and changes its role.
    pub(super) changing: bool,
    pub(super) lost: bool,
    /// Whether an admission tick is in the event queue.
    pub(super) tick_scheduled: bool,
    /// Incremented when the engine is replaced or lost, so that pending events of the old engine are ignored.
    pub(super) epoch: u32,
}

impl SimulatedEndpoint {
    pub(super) fn engine(location: EndpointLocation, role: Role, speed: EngineSpeed) -> Self {
        let admission = AdmissionController::new(Limits::engine(role).streams(speed.streams));
        Self::new(location, admission, Some(Engine::new(role, speed)))
    }

    pub(super) fn service(location: EndpointLocation) -> Self {
        Self::new(location, AdmissionController::new(Limits::service()), None)
    }

    fn new(
        location: EndpointLocation,
        admission: AdmissionController,
        engine: Option<Engine>,
    ) -> Self {
        Self {
            location,
            admission,
            engine,
            phases: BTreeMap::new(),
            planned_role: None,
            next_role: None,
            changing: false,
            lost: false,
            tick_scheduled: false,
            epoch: 0,
        }
    }

    pub(super) fn name(&self) -> &EndpointName {
        &self.location.endpoint
    }

    /// Whether the endpoint takes no new requests.
    pub(super) fn is_closed(&self) -> bool {
        self.lost || self.next_role.is_some()
    }

    pub(super) fn lose(&mut self) {
        self.lost = true;
        self.epoch += 1;
        self.phases.clear();
    }

    /// The engine as the role planner sees it; `None` for a service worker. `token_seconds` is the prefill time of one
    /// token.
    pub(super) fn view(&self, model: &ModelName, token_seconds: f64) -> Option<EngineView> {
        let engine = self.engine.as_ref()?;
        let pending = self.next_role.or(self.planned_role);
        Some(EngineView {
            endpoint: self.name().clone(),
            data_centre: self.location.data_centre.clone(),
            model: model.clone(),
            role: pending.unwrap_or(engine.role),
            changing: pending.is_some(),
            live: !self.lost,
            running: self.admission.running() as u32,
            cache_seconds: f64::from(engine.cached_tokens()) * token_seconds,
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
