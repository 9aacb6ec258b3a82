//! The entries of a replay: choice of endpoint and further tries.

use std::time::Duration;

use daisychute_core::{Precedence, Time};
use daisychute_policy::{RequestPhase, Selection, SelectionQuery};

use super::super::flight::End;
use super::super::roles::Roles;
use super::super::routing::Routing;
use super::event::Event;
use super::{DECODE_RETRY, MAX_ATTEMPTS, World};
use crate::trace::Work;

impl<R: Roles, C: Routing> World<'_, R, C> {
    pub(super) fn probe(&mut self, now: Time, i: usize) {
        if self.flights[i].end.is_some() {
            return;
        }
        if self.flights[i].attempts == 0 {
            self.meter(i);
        }
        if !self.options.probes {
            self.choose(now, i);
            return;
        }
        let entry = self.flights[i].entry;
        let asked = self
            .with_query(i, |world, query| world.entries[entry].probes(now, query, &mut world.rng));
        let distance = Duration::from_micros(self.trace.header.deployment.distance_us);
        for endpoint in asked {
            let place = self.places[&endpoint];
            let site = &self.sites[place];
            if site.lost {
                continue;
            }
            let report = site.admission.load_report(now);
            self.entries[entry].report(now, &endpoint, report);
        }
        self.queue.push(now + distance * 2, Event::Choose(i));
    }

    pub(super) fn meter(&mut self, i: usize) {
        let request = self.trace.requests[i];
        let class = &self.trace.header.classes[usize::from(request.class)];
        if class.work == Work::Completion {
            let model = &self.trace.header.deployment.model;
            let meter = &mut self.meters[self.flights[i].entry];
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

    pub(super) fn choose(&mut self, now: Time, i: usize) {
        let entry = self.flights[i].entry;
        let chosen = self
            .with_query(i, |world, query| world.entries[entry].choose(now, query, &mut world.rng));
        let Ok(chosen) = chosen else {
            self.try_later(now, i, Duration::from_millis(200));
            return;
        };
        if chosen.kv_transfer_wait > Selection::MAX_KV_TRANSFER_WAIT {
            self.try_later(now, i, chosen.kv_transfer_wait);
            return;
        }
        let place = self.places[&chosen.endpoint];
        let phase = match (self.is_call(i), chosen.disaggregated) {
            (true, _) => RequestPhase::Call,
            (false, true) => RequestPhase::Prefill,
            (false, false) => RequestPhase::Whole,
        };
        let at = now + self.distance(entry, place);
        self.queue.push(at, Event::Offer { flight: i, place, phase, cached: chosen.cached_tokens });
    }

    pub(super) fn choose_decode(&mut self, now: Time, i: usize, from: usize) {
        if self.flights[i].end.is_some() {
            return;
        }
        let entry = self.flights[i].entry;
        let data_centre = self.sites[from].site.data_centre.clone();
        let chosen = self.with_query(i, |world, query| {
            world.entries[entry].choose_decode(now, query, &data_centre, &mut world.rng)
        });
        let Ok(endpoint) = chosen else {
            // No engine decodes: the request starts over with what was emitted.
            self.queue.push(now + DECODE_RETRY, Event::Route(i));
            return;
        };
        let place = self.places[&endpoint];
        let tokens = f64::from(self.trace.requests[i].prompt_tokens);
        let speed = self.trace.header.deployment.speed;
        let is_near = self.sites[place].site.data_centre == data_centre;
        let rate = if is_near { speed.transfer_tokens } else { speed.far_transfer_tokens };
        let at = now + Duration::from_secs_f64(tokens / rate);
        self.queue
            .push(at, Event::Offer { flight: i, place, phase: RequestPhase::Decode, cached: 0 });
    }

    /// Another try after a refusal, or the final refusal.
    pub(super) fn try_later(&mut self, now: Time, i: usize, pause: Duration) {
        let class = &self.trace.header.classes[usize::from(self.trace.requests[i].class)].class;
        let arrived = self.trace.requests[i].at();
        let due = match (self.flights[i].first, class.targets.first_token) {
            (None, Some(first)) => arrived + first,
            _ => arrived + class.deadline(),
        };
        let may_wait = class.precedence == Precedence::MayWait;
        let flight = &mut self.flights[i];
        flight.attempts += 1;
        flight.at = None;
        let again = if flight.attempts.is_multiple_of(MAX_ATTEMPTS) {
            flight.excluded.clear();
            now + pause.max(Duration::from_millis(100))
        } else {
            now
        };
        let gives_up = flight.attempts >= MAX_ATTEMPTS && !may_wait && flight.first.is_none();
        if gives_up || again >= due {
            flight.end = Some(End::Refused(now));
            self.open -= 1;
        } else {
            self.queue.push(again, Event::Route(i));
        }
    }

    pub(super) fn deadline(&self, i: usize) -> Time {
        let request = self.trace.requests[i];
        request.at() + self.trace.header.classes[usize::from(request.class)].class.deadline()
    }

    pub(super) fn with_query<T>(
        &mut self,
        i: usize,
        ask: impl FnOnce(&mut Self, &SelectionQuery<'_>) -> T,
    ) -> T {
        let request = self.trace.requests[i];
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        let excluded = std::mem::take(&mut self.flights[i].excluded);
        let blocks = std::mem::take(&mut self.blocks[i]);
        let deployment = &self.trace.header.deployment;
        let query = if self.is_call(i) {
            SelectionQuery::service(&deployment.service)
        } else {
            SelectionQuery::model(&deployment.model)
        };
        let query = query
            .prompt(request.prompt_tokens + self.flights[i].emitted, &blocks)
            .output_tokens(request.max_tokens)
            .between_tokens(class.targets.between_tokens)
            .exclude(&excluded);
        let answer = ask(self, &query);
        self.flights[i].excluded = excluded;
        self.blocks[i] = blocks;
        answer
    }

    pub(super) fn is_call(&self, i: usize) -> bool {
        let class = usize::from(self.trace.requests[i].class);
        self.trace.header.classes[class].work != Work::Completion
    }

    pub(super) fn distance(&self, entry: usize, place: usize) -> Duration {
        let deployment = &self.trace.header.deployment;
        let from = &deployment.data_centres[entry % deployment.data_centres.len()];
        deployment.distance(from, &self.sites[place].site.data_centre)
    }
}
