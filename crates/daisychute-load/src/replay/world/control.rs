//! The control of a replay: reports, plans, role changes and losses.

use daisychute_core::{LoadReport, ModelName, Role, Time};
use daisychute_policy::{AdmissionController, Demand, DemandTable, EngineView, Fleet, Limits};

use super::super::engine::Engine;
use super::super::roles::Roles;
use super::super::routing::Routing;
use super::event::Event;
use super::{NEWS_DELAY, PLAN_DELAY, PLAN_EVERY, World};

impl<R: Roles, C: Routing> World<'_, R, C> {
    pub(super) fn reports(&mut self, now: Time) {
        for place in 0..self.sites.len() {
            if self.sites[place].lost {
                continue;
            }
            let mut report = self.sites[place].admission.load_report(now);
            report.age = self.options.report_lag;
            self.queue.push(now + self.options.report_lag, Event::Deliver { place, report });
        }
        self.queue.push(now + self.options.report_every, Event::Reports);
    }

    pub(super) fn deliver(&mut self, now: Time, place: usize, report: LoadReport) {
        let name = self.sites[place].name().clone();
        for entry in &mut self.entries {
            entry.report(now, &name, report);
        }
    }

    pub(super) fn tell_entries(&mut self, now: Time, place: usize) {
        let site = &self.sites[place];
        if site.lost {
            let name = site.name().clone();
            self.entries.iter_mut().for_each(|it| it.remove(&name));
            return;
        }
        let deployment = &self.trace.header.deployment;
        for entry in 0..self.entries.len() {
            let distance = self.distance(entry, place);
            let candidate = self.sites[place].candidate(deployment, distance);
            self.entries[entry].upsert(now, candidate);
        }
    }

    pub(super) fn plan(&mut self, now: Time) {
        let fleet = Fleet { engines: self.engine_views() };
        let demand = self.demand(now);
        for change in self.roles.plan(now, &fleet, &demand) {
            let place = self.places[&change.endpoint];
            self.role_changes += 1;
            self.sites[place].planned = Some(change.role);
            self.queue.push(now + PLAN_DELAY, Event::Change { place, role: change.role });
        }
        self.queue.push(now + PLAN_EVERY, Event::Plan);
    }

    pub(super) fn engine_views(&self) -> Vec<EngineView> {
        let model = &self.trace.header.deployment.model;
        let cost = self.trace.header.deployment.speed.prompt_token / 1e6;
        self.sites.iter().filter_map(|it| it.view(model, cost)).collect()
    }

    pub(super) fn demand(&mut self, now: Time) -> DemandTable {
        let engines = self.sites.iter().filter(|it| it.engine.is_some() && !it.lost);
        let admissions: Vec<&AdmissionController> = engines.map(|it| &it.admission).collect();
        let mut table = DemandTable::default();
        for meter in &mut self.meters {
            let costs = admissions.iter().map(|it| it.unit_costs());
            table.merge(&meter.table(now, costs));
        }
        let model: &ModelName = &self.trace.header.deployment.model;
        let waiting = admissions.iter().fold(Demand::default(), |sum, it| sum.plus(it.demand()));
        table.add_engines(model, waiting);
        table
    }

    pub(super) fn start_change(&mut self, now: Time, place: usize, role: Role) {
        let site = &mut self.sites[place];
        if site.lost {
            return;
        }
        site.draining = Some(role);
        let waiting = site.admission.drain();
        for id in waiting {
            let i = id.seq as usize;
            let phase = self.sites[place].phases.remove(&i).unwrap_or_default();
            self.refused(now, i, place, phase, None);
        }
        self.queue.push(now + NEWS_DELAY, Event::News(place));
        self.end_drain(now, place);
    }

    pub(super) fn end_drain(&mut self, now: Time, place: usize) {
        let site = &mut self.sites[place];
        let idle = site.engine.as_ref().is_some_and(Engine::is_idle);
        if site.draining.is_some() && !site.changing && idle {
            site.changing = true;
            site.epoch += 1;
            let epoch = site.epoch;
            let done = now + self.trace.header.deployment.speed.role_change();
            self.queue.push(done, Event::Changed { place, epoch });
        }
    }

    pub(super) fn end_change(&mut self, now: Time, place: usize, epoch: u32) {
        let speed = self.trace.header.deployment.speed;
        let site = &mut self.sites[place];
        let Some(role) = site.draining.filter(|_| site.epoch == epoch) else { return };
        site.engine = Some(Engine::new(role, speed));
        site.admission.set_limits(Limits::engine(role).streams(speed.streams));
        site.draining = None;
        site.planned = None;
        site.changing = false;
        self.queue.push(now + NEWS_DELAY, Event::News(place));
    }

    pub(super) fn lose(&mut self, now: Time, place: usize) {
        self.sites[place].lose();
        self.queue.push(now + NEWS_DELAY, Event::News(place));
        let cut: Vec<usize> =
            (0..self.flights.len()).filter(|it| self.flights[*it].at == Some(place)).collect();
        for i in cut {
            self.flights[i].at = None;
            if self.flights[i].end.is_none() {
                self.queue.push(now + NEWS_DELAY, Event::Route(i));
            }
        }
    }
}
