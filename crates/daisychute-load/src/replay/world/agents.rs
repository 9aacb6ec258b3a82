//! The agents of a replay: admission before each endpoint.

use std::time::Duration;

use daisychute_core::{Incarnation, Refusal, RequestId, Time};
use daisychute_policy::{AdmissionController, AdmissionRequest, Decision, RequestPhase};

use super::super::engine::Job;
use super::super::roles::Roles;
use super::super::routing::Routing;
use super::event::Event;
use super::{DECODE_RETRY, World};

impl<R: Roles, C: Routing> World<'_, R, C> {
    pub(super) fn offer(
        &mut self,
        now: Time,
        i: usize,
        place: usize,
        phase: RequestPhase,
        cached: u32,
    ) {
        if self.flights[i].end.is_some() {
            return;
        }
        if self.sites[place].is_closed() {
            self.refused(now, i, place, phase, None);
            return;
        }
        let request = self.admission_request(i, phase, cached);
        match self.sites[place].admission.submit(now, request) {
            Decision::Admitted => self.start(now, i, place, phase),
            Decision::Queued => {
                self.flights[i].at = Some(place);
                self.sites[place].phases.insert(i, phase);
                self.pump(now, place);
            }
            Decision::Refused(refusal) => self.refused(now, i, place, phase, Some(refusal)),
        }
    }

    pub(super) fn refused(
        &mut self,
        now: Time,
        i: usize,
        place: usize,
        phase: RequestPhase,
        refusal: Option<Refusal>,
    ) {
        self.flights[i].at = None;
        if phase == RequestPhase::Decode && now < self.deadline(i) {
            self.queue.push(now + DECODE_RETRY, Event::Decode { flight: i, data_centre_of: place });
            return;
        }
        self.flights[i].excluded.push(self.sites[place].name().clone());
        let pause = refusal.and_then(|it| it.retry_after).unwrap_or_default();
        let back = self.distance(self.flights[i].entry, place);
        self.try_later(now + back, i, pause);
    }

    pub(super) fn admission_request(
        &self,
        i: usize,
        phase: RequestPhase,
        cached: u32,
    ) -> AdmissionRequest {
        let request = self.trace.requests[i];
        let header = &self.trace.header;
        let class = &header.classes[usize::from(request.class)].class;
        let tenant = header.tenants[usize::from(request.tenant)].clone();
        let emitted = self.flights[i].emitted;
        let first_due = class.targets.first_token.map(|it| request.at() + it);
        let first_due = first_due.filter(|_| emitted == 0 && phase != RequestPhase::Decode);
        AdmissionRequest::new(self.id(i), tenant, class.name.clone())
            .precedence(class.precedence)
            .deadline(request.at() + class.deadline())
            .first_token(first_due)
            .between_tokens(class.targets.between_tokens)
            .prompt_tokens(request.prompt_tokens + emitted)
            .cached_tokens(cached)
            .max_tokens(request.max_tokens.saturating_sub(emitted).max(1))
            .phase(phase)
    }

    pub(super) fn id(&self, i: usize) -> RequestId {
        RequestId::new(Incarnation::new(self.flights[i].entry as u64), i as u64)
    }

    /// Hands an admitted request to the endpoint.
    pub(super) fn start(&mut self, now: Time, i: usize, place: usize, phase: RequestPhase) {
        self.flights[i].at = Some(place);
        let request = self.trace.requests[i];
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        let emitted = self.flights[i].emitted;
        let job = Job {
            id: self.id(i),
            priority: class.precedence,
            prompt_tokens: request.prompt_tokens + emitted,
            prefix: request.prefix,
            prefix_tokens: request.prefix_tokens,
            output_tokens: request.output_tokens.saturating_sub(emitted).max(1),
            imported: phase == RequestPhase::Decode,
            prefill_only: phase == RequestPhase::Prefill,
        };
        let site = &mut self.sites[place];
        site.phases.insert(i, phase);
        match &mut site.engine {
            Some(engine) => {
                engine.submit(job);
                self.step(now, place);
            }
            None => {
                let micros = self.trace.header.deployment.speed.call as u64;
                let done = now + Duration::from_micros(micros);
                let epoch = site.epoch;
                self.queue.push(done, Event::CallDone { place, flight: i, epoch });
            }
        }
    }

    /// Starts and refuses what the agent's core names.
    pub(super) fn pump(&mut self, now: Time, place: usize) {
        if self.sites[place].is_closed() {
            return;
        }
        let mut late = Vec::new();
        self.sites[place].admission.expire(now, &mut late);
        for (id, refusal) in late {
            let i = id.seq as usize;
            let phase = self.sites[place].phases.remove(&i).unwrap_or_default();
            self.refused(now, i, place, phase, Some(refusal));
        }
        while let Some(id) = self.sites[place].admission.next(now) {
            let i = id.seq as usize;
            let phase = self.sites[place].phases.get(&i).copied().unwrap_or_default();
            self.start(now, i, place, phase);
        }
        let site = &mut self.sites[place];
        if site.admission.queued() > 0 && !site.ticking {
            site.ticking = true;
            self.queue.push(now + AdmissionController::TICK, Event::Tick { place });
        }
    }
}
