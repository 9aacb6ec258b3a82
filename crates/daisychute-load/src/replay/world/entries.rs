//! The entries of a replay: endpoint selection, retries and refusals.

use std::time::Duration;

use daisychute_core::{Precedence, Time};
use daisychute_policy::{RequestPhase, Selection, SelectionQuery};

use super::super::request_state::RequestEnd;
use super::super::role_policy::RolePolicy;
use super::super::routing_policy::RoutingPolicy;
use super::event::Event;
use super::{DECODE_RETRY_DELAY, MAX_ATTEMPTS, World};
use crate::trace::Work;

impl<R: RolePolicy, C: RoutingPolicy> World<'_, R, C> {
    /// Asks the probed endpoints for their load and selects an endpoint one round trip later, or at once if probes are
    /// turned off.
    pub(super) fn probe(&mut self, now: Time, request_index: usize) {
        if self.states[request_index].end.is_some() {
            return;
        }
        if !std::mem::replace(&mut self.states[request_index].counted, true) {
            self.record_arrival(request_index);
        }
        if !self.options.probes {
            self.select(now, request_index);
            return;
        }
        let entry = self.states[request_index].entry;
        let probed = self.with_query(request_index, |world, query| {
            world.routing_policies[entry].probes(now, query, &mut world.rng)
        });
        let distance = Duration::from_micros(self.trace.header.deployment.distance_us);
        for name in probed {
            let endpoint_index = self.endpoint_indices[&name];
            let endpoint = &self.endpoints[endpoint_index];
            if endpoint.lost {
                continue;
            }
            let report = endpoint.admission.load_report(now);
            self.routing_policies[entry].update_load(now, &name, report);
        }
        self.queue.push(now + distance * 2, Event::Select(request_index));
    }

    /// Counts a completion in the demand of its entry.
    pub(super) fn record_arrival(&mut self, request_index: usize) {
        let request = self.trace.requests[request_index];
        let class = &self.trace.header.classes[usize::from(request.class)];
        if class.work == Work::Completion {
            self.counted_completions += 1;
            let model = &self.trace.header.deployment.model;
            let meter = &mut self.meters[self.states[request_index].entry];
            let (name, precedence) = (&class.class.name, class.class.precedence);
            meter.record_arrival(
                model,
                name,
                precedence,
                request.prompt_tokens,
                request.max_tokens,
            );
        }
    }

    /// Selects the endpoint for the call, the prefill or the whole completion.
    pub(super) fn select(&mut self, now: Time, request_index: usize) {
        let entry = self.states[request_index].entry;
        let selection = self.with_query(request_index, |world, query| {
            world.routing_policies[entry].select(now, query, &mut world.rng)
        });
        let Ok(selection) = selection else {
            self.retry_or_refuse(now, request_index, Duration::from_millis(200));
            return;
        };
        if selection.kv_transfer_wait > Selection::MAX_KV_TRANSFER_WAIT {
            self.retry_or_refuse(now, request_index, selection.kv_transfer_wait);
            return;
        }
        let endpoint_index = self.endpoint_indices[&selection.endpoint];
        let phase = match (self.is_call(request_index), selection.disaggregated) {
            (true, _) => RequestPhase::Call,
            (false, true) => RequestPhase::Prefill,
            (false, false) => RequestPhase::Whole,
        };
        let at = now + self.distance(entry, endpoint_index);
        self.queue.push(
            at,
            Event::Submit {
                request: request_index,
                endpoint_index,
                phase,
                cached: selection.cached_tokens,
            },
        );
    }

    /// Selects the decode engine of a request. The KV cache transfer is timed from the data centre of
    /// `source_endpoint`, the engine that prefilled the prompt.
    pub(super) fn select_decode(
        &mut self,
        now: Time,
        request_index: usize,
        source_endpoint: usize,
    ) {
        if self.states[request_index].end.is_some() {
            return;
        }
        let entry = self.states[request_index].entry;
        let data_centre = self.endpoints[source_endpoint].location.data_centre.clone();
        let selection = self.with_query(request_index, |world, query| {
            world.routing_policies[entry].select_decode(now, query, &data_centre, &mut world.rng)
        });
        let Ok(endpoint) = selection else {
            // No engine can decode: the request is routed again, with the emitted tokens added to its prompt.
            self.queue.push(now + DECODE_RETRY_DELAY, Event::Probe(request_index));
            return;
        };
        let endpoint_index = self.endpoint_indices[&endpoint];
        let tokens = f64::from(self.trace.requests[request_index].prompt_tokens);
        let speed = self.trace.header.deployment.speed;
        let is_near = self.endpoints[endpoint_index].location.data_centre == data_centre;
        let rate = if is_near { speed.transfer_tokens } else { speed.far_transfer_tokens };
        let at = now + Duration::from_secs_f64(tokens / rate);
        self.queue.push(
            at,
            Event::Submit {
                request: request_index,
                endpoint_index,
                phase: RequestPhase::Decode,
                cached: 0,
            },
        );
    }

    /// Routes a refused request again, or refuses it for good if its attempts are used up or its deadline would pass.
    pub(super) fn retry_or_refuse(&mut self, now: Time, request_index: usize, pause: Duration) {
        let class =
            &self.trace.header.classes[usize::from(self.trace.requests[request_index].class)].class;
        let arrived_at = self.trace.requests[request_index].at();
        let deadline = match (self.states[request_index].first_token_at, class.targets.first_token)
        {
            (None, Some(first)) => arrived_at + first,
            _ => arrived_at + class.deadline(),
        };
        let may_wait = class.precedence == Precedence::MayWait;
        let state = &mut self.states[request_index];
        state.attempts += 1;
        state.assigned_endpoint = None;
        let retry_at = if state.attempts.is_multiple_of(MAX_ATTEMPTS) {
            state.excluded.clear();
            now + pause.max(Duration::from_millis(100))
        } else {
            now
        };
        let is_exhausted =
            state.attempts >= MAX_ATTEMPTS && !may_wait && state.first_token_at.is_none();
        if is_exhausted || retry_at >= deadline {
            state.end = Some(RequestEnd::Refused(now));
            self.open_requests -= 1;
        } else {
            self.queue.push(retry_at, Event::Probe(request_index));
        }
    }

    pub(super) fn deadline(&self, request_index: usize) -> Time {
        let request = self.trace.requests[request_index];
        request.at() + self.trace.header.classes[usize::from(request.class)].class.deadline()
    }

    /// Calls `select` with the selection query of a request.
    pub(super) fn with_query<T>(
        &mut self,
        request_index: usize,
        select: impl FnOnce(&mut Self, &SelectionQuery<'_>) -> T,
    ) -> T {
        let request = self.trace.requests[request_index];
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        let excluded = std::mem::take(&mut self.states[request_index].excluded);
        let blocks = std::mem::take(&mut self.blocks[request_index]);
        let deployment = &self.trace.header.deployment;
        let query = if self.is_call(request_index) {
            SelectionQuery::service(&deployment.service)
        } else {
            SelectionQuery::model(&deployment.model)
        };
        let query = query
            .prompt(request.prompt_tokens + self.states[request_index].emitted_tokens, &blocks)
            .output_tokens(request.max_tokens)
            .between_tokens(class.targets.between_tokens)
            .exclude(&excluded);
        let result = select(self, &query);
        self.states[request_index].excluded = excluded;
        self.blocks[request_index] = blocks;
        result
    }

    pub(super) fn is_call(&self, request_index: usize) -> bool {
        let class = usize::from(self.trace.requests[request_index].class);
        self.trace.header.classes[class].work != Work::Completion
    }

    /// One-way network latency between an entry and an endpoint.
    pub(super) fn distance(&self, entry: usize, endpoint_index: usize) -> Duration {
        let deployment = &self.trace.header.deployment;
        let from = &deployment.data_centres[entry % deployment.data_centres.len()];
        deployment.distance(from, &self.endpoints[endpoint_index].location.data_centre)
    }
}
