//! The endpoints of a replay: engine steps and service calls.

use daisychute_core::{RequestId, Time};
use daisychute_policy::RequestPhase;
use rand::RngExt;

use super::super::engine::Progress;
use super::super::report::micros;
use super::super::request_state::RequestEnd;
use super::super::role_policy::RolePolicy;
use super::super::routing_policy::RoutingPolicy;
use super::World;
use super::event::Event;

impl<R: RolePolicy, C: RoutingPolicy> World<'_, R, C> {
    pub(super) fn start_step(&mut self, now: Time, endpoint_index: usize) {
        let endpoint = &mut self.endpoints[endpoint_index];
        let epoch = endpoint.epoch;
        let Some(engine) = &mut endpoint.engine else { return };
        if let Some(end) = engine.begin_step(now) {
            self.queue.push(end, Event::StepEnd { endpoint_index, epoch });
        }
    }

    pub(super) fn end_step(&mut self, now: Time, endpoint_index: usize, epoch: u32) {
        if self.endpoints[endpoint_index].epoch != epoch {
            return;
        }
        let mut progress = Vec::new();
        if let Some(engine) = &mut self.endpoints[endpoint_index].engine {
            engine.end_step(&mut progress);
        }
        for it in progress {
            self.handle_progress(now, endpoint_index, it);
        }
        self.dispatch_queued(now, endpoint_index);
        self.start_step(now, endpoint_index);
        self.change_role_if_drained(now, endpoint_index);
    }

    pub(super) fn handle_progress(&mut self, now: Time, endpoint_index: usize, progress: Progress) {
        match progress {
            Progress::FirstToken { id, cached_tokens } => {
                self.endpoints[endpoint_index].admission.first_token(now, id, cached_tokens);
                self.record_prefill_result(id.seq as usize, endpoint_index, cached_tokens);
                self.record_token(now, id);
            }
            Progress::Token(id) => {
                self.endpoints[endpoint_index].admission.token(now, id);
                self.record_token(now, id);
            }
            Progress::Finished(id) => self.finish_phase(now, endpoint_index, id),
        }
    }

    /// Updates the demand and the caches after a prefill. Other entries miss a share of the cache events.
    pub(super) fn record_prefill_result(
        &mut self,
        request_index: usize,
        endpoint_index: usize,
        cached: u32,
    ) {
        self.prompt_tokens += u64::from(self.trace.requests[request_index].prompt_tokens);
        self.cached_tokens += u64::from(cached);
        let name = self.endpoints[endpoint_index].name().clone();
        let entry = self.states[request_index].entry;
        let blocks = &self.blocks[request_index];
        self.routing_policies[entry].observe_cache_hit(&name, blocks, cached);
        let model = &self.trace.header.deployment.model;
        self.meters[entry].record_prefill(
            model,
            self.trace.requests[request_index].prompt_tokens,
            cached,
        );
        for (other, routing) in self.routing_policies.iter_mut().enumerate() {
            if other != entry && self.rng.random::<f64>() >= self.options.cache_events_lost {
                routing.add_cached_blocks(&name, blocks);
            }
        }
    }

    pub(super) fn record_token(&mut self, now: Time, id: RequestId) {
        let request_index = id.seq as usize;
        let class =
            &self.trace.header.classes[usize::from(self.trace.requests[request_index].class)].class;
        let target = class.targets.between_tokens;
        let gap = self.states[request_index].record_token(now, target);
        if let (Some(gap), Some(_)) = (gap, target) {
            self.token_gaps.saturating_record(micros(gap));
        }
    }

    /// Ends a phase of a completion: after the prefill phase the request moves to a decode engine.
    pub(super) fn finish_phase(&mut self, now: Time, endpoint_index: usize, id: RequestId) {
        let request_index = id.seq as usize;
        let endpoint = &mut self.endpoints[endpoint_index];
        endpoint.admission.finished(now, id);
        let phase = endpoint.phases.remove(&request_index).unwrap_or_default();
        self.states[request_index].assigned_endpoint = None;
        let request = self.trace.requests[request_index];
        if phase == RequestPhase::Prefill
            && self.states[request_index].emitted_tokens < request.output_tokens
        {
            self.states[request_index].prefill_endpoint = Some(endpoint_index);
            self.select_decode(now, request_index, endpoint_index);
            return;
        }
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        self.meters[self.states[request_index].entry]
            .record_response(&class.name, request.output_tokens);
        self.states[request_index].end = Some(RequestEnd::Completed(now));
        self.open_requests -= 1;
    }

    pub(super) fn finish_call(
        &mut self,
        now: Time,
        endpoint_index: usize,
        request_index: usize,
        epoch: u32,
    ) {
        if self.endpoints[endpoint_index].epoch != epoch {
            return;
        }
        let id = self.id(request_index);
        self.states[request_index].record_token(now, None);
        self.endpoints[endpoint_index].phases.remove(&request_index);
        self.endpoints[endpoint_index].admission.finished(now, id);
        self.states[request_index].end = Some(RequestEnd::Completed(now));
        self.open_requests -= 1;
        self.dispatch_queued(now, endpoint_index);
    }
}
