//! The agents of a replay: admission control at each endpoint.

use std::time::Duration;

use daisychute_core::{Incarnation, Refusal, RequestId, Time};
use daisychute_policy::{AdmissionController, AdmissionRequest, Decision, RequestPhase};

use super::super::engine::Job;
use super::super::role_policy::RolePolicy;
use super::super::routing_policy::RoutingPolicy;
use super::event::Event;
use super::{DECODE_RETRY_DELAY, World};

impl<R: RolePolicy, C: RoutingPolicy> World<'_, R, C> {
    /// Submits a request to the admission control of an endpoint.
    pub(super) fn submit(
        &mut self,
        now: Time,
        request_index: usize,
        endpoint_index: usize,
        phase: RequestPhase,
        cached: u32,
    ) {
        if self.states[request_index].end.is_some() {
            return;
        }
        if self.endpoints[endpoint_index].is_closed() {
            self.handle_refusal(now, request_index, endpoint_index, phase, None);
            return;
        }
        let request = self.admission_request(request_index, phase, cached);
        match self.endpoints[endpoint_index].admission.submit(now, request) {
            Decision::Admitted => self.start_request(now, request_index, endpoint_index, phase),
            Decision::Queued => {
                self.states[request_index].assigned_endpoint = Some(endpoint_index);
                self.endpoints[endpoint_index].phases.insert(request_index, phase);
                self.dispatch_queued(now, endpoint_index);
            }
            Decision::Refused(refusal) => {
                self.handle_refusal(now, request_index, endpoint_index, phase, Some(refusal))
            }
        }
    }

    /// Sends a refused request elsewhere. A decode phase, whose KV cache exists, only gets another decode engine until
    /// its deadline. `refusal` is `None` if the endpoint is draining or lost.
    pub(super) fn handle_refusal(
        &mut self,
        now: Time,
        request_index: usize,
        endpoint_index: usize,
        phase: RequestPhase,
        refusal: Option<Refusal>,
    ) {
        self.states[request_index].assigned_endpoint = None;
        if phase == RequestPhase::Decode && now < self.deadline(request_index) {
            let prefill_endpoint = self.states[request_index].prefill_endpoint;
            let source_endpoint = prefill_endpoint.unwrap_or(endpoint_index);
            self.queue.push(
                now + DECODE_RETRY_DELAY,
                Event::SelectDecode { request: request_index, source_endpoint },
            );
            return;
        }
        self.states[request_index].excluded.push(self.endpoints[endpoint_index].name().clone());
        let pause = refusal.and_then(|it| it.retry_after).unwrap_or_default();
        let return_delay = self.distance(self.states[request_index].entry, endpoint_index);
        self.retry_or_refuse(now + return_delay, request_index, pause);
    }

    pub(super) fn admission_request(
        &self,
        request_index: usize,
        phase: RequestPhase,
        cached: u32,
    ) -> AdmissionRequest {
        let request = self.trace.requests[request_index];
        let header = &self.trace.header;
        let class = &header.classes[usize::from(request.class)].class;
        let tenant = header.tenants[usize::from(request.tenant)].clone();
        let emitted_tokens = self.states[request_index].emitted_tokens;
        let first_token_deadline = class.targets.first_token.map(|it| request.at() + it);
        let first_token_deadline =
            first_token_deadline.filter(|_| emitted_tokens == 0 && phase != RequestPhase::Decode);
        AdmissionRequest::new(self.id(request_index), tenant, class.name.clone())
            .precedence(class.precedence)
            .deadline(request.at() + class.deadline())
            .first_token(first_token_deadline)
            .between_tokens(class.targets.between_tokens)
            .prompt_tokens(request.prompt_tokens + emitted_tokens)
            .cached_tokens(cached)
            .max_tokens(request.max_tokens.saturating_sub(emitted_tokens).max(1))
            .phase(phase)
    }

    pub(super) fn id(&self, request_index: usize) -> RequestId {
        RequestId::new(
            Incarnation::new(self.states[request_index].entry as u64),
            request_index as u64,
        )
    }

    /// Starts an admitted request on its endpoint.
    pub(super) fn start_request(
        &mut self,
        now: Time,
        request_index: usize,
        endpoint_index: usize,
        phase: RequestPhase,
    ) {
        self.states[request_index].assigned_endpoint = Some(endpoint_index);
        let request = self.trace.requests[request_index];
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        let emitted_tokens = self.states[request_index].emitted_tokens;
        let job = Job {
            id: self.id(request_index),
            priority: class.precedence,
            prompt_tokens: request.prompt_tokens + emitted_tokens,
            prefix: request.prefix,
            prefix_tokens: request.prefix_tokens,
            output_tokens: request.output_tokens.saturating_sub(emitted_tokens).max(1),
            imported: phase == RequestPhase::Decode,
            prefill_only: phase == RequestPhase::Prefill,
        };
        let endpoint = &mut self.endpoints[endpoint_index];
        endpoint.phases.insert(request_index, phase);
        match &mut endpoint.engine {
            Some(engine) => {
                engine.submit(job);
                self.start_step(now, endpoint_index);
            }
            None => {
                let micros = self.trace.header.deployment.speed.call as u64;
                let done = now + Duration::from_micros(micros);
                let epoch = endpoint.epoch;
                self.queue
                    .push(done, Event::CallEnd { endpoint_index, request: request_index, epoch });
            }
        }
    }

    /// Refuses the expired requests of the admission queue and starts those that are admitted.
    pub(super) fn dispatch_queued(&mut self, now: Time, endpoint_index: usize) {
        if self.endpoints[endpoint_index].is_closed() {
            return;
        }
        let mut expired = Vec::new();
        self.endpoints[endpoint_index].admission.expire(now, &mut expired);
        for (id, refusal) in expired {
            let request_index = id.seq as usize;
            let phase =
                self.endpoints[endpoint_index].phases.remove(&request_index).unwrap_or_default();
            self.handle_refusal(now, request_index, endpoint_index, phase, Some(refusal));
        }
        while let Some(id) = self.endpoints[endpoint_index].admission.next(now) {
            let request_index = id.seq as usize;
            let phase = self.endpoints[endpoint_index]
                .phases
                .get(&request_index)
                .copied()
                .unwrap_or_default();
            self.start_request(now, request_index, endpoint_index, phase);
        }
        let endpoint = &mut self.endpoints[endpoint_index];
        if endpoint.admission.queued() > 0 && !endpoint.tick_scheduled {
            endpoint.tick_scheduled = true;
            self.queue
                .push(now + AdmissionController::TICK, Event::AdmissionTick { endpoint_index });
        }
    }
}
