//! The endpoints of a replay: steps of engines and calls of services.

use daisychute_core::{RequestId, Time};
use daisychute_policy::RequestPhase;
use rand::RngExt;

use super::super::engine::Progress;
use super::super::flight::End;
use super::super::report::micros;
use super::super::roles::Roles;
use super::super::routing::Routing;
use super::World;
use super::event::Event;

impl<R: Roles, C: Routing> World<'_, R, C> {
    pub(super) fn step(&mut self, now: Time, place: usize) {
        let site = &mut self.sites[place];
        let epoch = site.epoch;
        let Some(engine) = &mut site.engine else { return };
        if let Some(end) = engine.begin_step(now) {
            self.queue.push(end, Event::Step { place, epoch });
        }
    }

    pub(super) fn end_step(&mut self, now: Time, place: usize, epoch: u32) {
        if self.sites[place].epoch != epoch {
            return;
        }
        let mut progress = Vec::new();
        if let Some(engine) = &mut self.sites[place].engine {
            engine.end_step(&mut progress);
        }
        for it in progress {
            self.progress(now, place, it);
        }
        self.pump(now, place);
        self.step(now, place);
        self.end_drain(now, place);
    }

    pub(super) fn progress(&mut self, now: Time, place: usize, progress: Progress) {
        match progress {
            Progress::FirstToken { id, cached_tokens } => {
                self.sites[place].admission.first_token(now, id, cached_tokens);
                self.prompt_computed(id.seq as usize, place, cached_tokens);
                self.token(now, id);
            }
            Progress::Token(id) => {
                self.sites[place].admission.token(now, id);
                self.token(now, id);
            }
            Progress::Finished(id) => self.finished(now, place, id),
        }
    }

    pub(super) fn prompt_computed(&mut self, i: usize, place: usize, cached: u32) {
        self.prompt_tokens += u64::from(self.trace.requests[i].prompt_tokens);
        self.cached_tokens += u64::from(cached);
        let name = self.sites[place].name().clone();
        let entry = self.flights[i].entry;
        let blocks = &self.blocks[i];
        self.entries[entry].answered(&name, blocks, cached);
        let model = &self.trace.header.deployment.model;
        self.meters[entry].record_prefill(model, self.trace.requests[i].prompt_tokens, cached);
        for (other, routing) in self.entries.iter_mut().enumerate() {
            if other != entry && self.rng.random::<f64>() >= self.options.cache_events_lost {
                routing.stored(&name, blocks);
            }
        }
    }

    pub(super) fn token(&mut self, now: Time, id: RequestId) {
        let i = id.seq as usize;
        let class = &self.trace.header.classes[usize::from(self.trace.requests[i].class)].class;
        let target = class.targets.between_tokens;
        let gap = self.flights[i].token(now, target);
        if let (Some(gap), Some(_)) = (gap, target) {
            self.gaps.saturating_record(micros(gap));
        }
    }

    pub(super) fn finished(&mut self, now: Time, place: usize, id: RequestId) {
        let i = id.seq as usize;
        let site = &mut self.sites[place];
        site.admission.finished(now, id);
        let phase = site.phases.remove(&i).unwrap_or_default();
        self.flights[i].at = None;
        let request = self.trace.requests[i];
        if phase == RequestPhase::Prefill && self.flights[i].emitted < request.output_tokens {
            self.choose_decode(now, i, place);
            return;
        }
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        self.meters[self.flights[i].entry].record_response(&class.name, request.output_tokens);
        self.flights[i].end = Some(End::Answered(now));
        self.open -= 1;
    }

    pub(super) fn call_done(&mut self, now: Time, place: usize, i: usize, epoch: u32) {
        if self.sites[place].epoch != epoch {
            return;
        }
        let id = self.id(i);
        self.flights[i].token(now, None);
        self.sites[place].phases.remove(&i);
        self.sites[place].admission.finished(now, id);
        self.flights[i].end = Some(End::Answered(now));
        self.open -= 1;
        self.pump(now, place);
    }
}
