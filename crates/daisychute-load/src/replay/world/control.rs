//! The control plane of a replay: load reports, role planning, role changes and lost engines.

use daisychute_core::{LoadReport, ModelName, Role, Time};
use daisychute_policy::{AdmissionController, Demand, DemandTable, EngineView, Fleet, Limits};

use super::super::engine::Engine;
use super::super::role_policy::RolePolicy;
use super::super::routing_policy::RoutingPolicy;
use super::event::Event;
use super::{ENDPOINT_UPDATE_DELAY, PLAN_APPLY_DELAY, PLAN_INTERVAL, World};

impl<R: RolePolicy, C: RoutingPolicy> World<'_, R, C> {
    /// Takes a load report of each endpoint and delivers it after the report lag.
    pub(super) fn send_reports(&mut self, now: Time) {
        for endpoint_index in 0..self.endpoints.len() {
            if self.endpoints[endpoint_index].lost {
                continue;
            }
            let mut report = self.endpoints[endpoint_index].admission.load_report(now);
            report.age = self.options.report_lag;
            self.queue.push(
                now + self.options.report_lag,
                Event::DeliverReport { endpoint_index, report },
            );
        }
        self.queue.push(now + self.options.report_every, Event::SendReports);
    }

    pub(super) fn deliver_report(&mut self, now: Time, endpoint_index: usize, report: LoadReport) {
        let name = self.endpoints[endpoint_index].name().clone();
        for policy in &mut self.routing_policies {
            policy.update_load(now, &name, report);
        }
    }

    /// Passes the state of an endpoint to all entries.
    pub(super) fn notify_entries(&mut self, now: Time, endpoint_index: usize) {
        let endpoint = &self.endpoints[endpoint_index];
        if endpoint.lost {
            let name = endpoint.name().clone();
            self.routing_policies.iter_mut().for_each(|it| it.remove(&name));
            return;
        }
        let deployment = &self.trace.header.deployment;
        for entry in 0..self.routing_policies.len() {
            let distance = self.distance(entry, endpoint_index);
            let candidate = self.endpoints[endpoint_index].candidate(deployment, distance);
            self.routing_policies[entry].upsert(now, candidate);
        }
    }

    pub(super) fn plan_roles(&mut self, now: Time) {
        let fleet = Fleet { engines: self.engine_views() };
        let demand = self.demand(now);
        for change in self.roles.plan(now, &fleet, &demand) {
            let endpoint_index = self.endpoint_indices[&change.endpoint];
            self.role_changes += 1;
            self.endpoints[endpoint_index].planned_role = Some(change.role);
            self.queue.push(
                now + PLAN_APPLY_DELAY,
                Event::StartRoleChange { endpoint_index, role: change.role },
            );
        }
        self.queue.push(now + PLAN_INTERVAL, Event::PlanRoles);
    }

    pub(super) fn engine_views(&self) -> Vec<EngineView> {
        let model = &self.trace.header.deployment.model;
        let token_seconds = self.trace.header.deployment.speed.prompt_token / 1e6;
        self.endpoints.iter().filter_map(|it| it.view(model, token_seconds)).collect()
    }

    /// Demand that the entries measured plus the work that waits at the engines.
    pub(super) fn demand(&mut self, now: Time) -> DemandTable {
        let engines = self.endpoints.iter().filter(|it| it.engine.is_some() && !it.lost);
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

    /// Drains an engine for a new role; its queued requests are refused and go elsewhere.
    pub(super) fn start_role_change(&mut self, now: Time, endpoint_index: usize, role: Role) {
        let endpoint = &mut self.endpoints[endpoint_index];
        if endpoint.lost {
            return;
        }
        endpoint.next_role = Some(role);
        let waiting = endpoint.admission.drain();
        for id in waiting {
            let request_index = id.seq as usize;
            let phase =
                self.endpoints[endpoint_index].phases.remove(&request_index).unwrap_or_default();
            self.handle_refusal(now, request_index, endpoint_index, phase, None);
        }
        self.queue.push(now + ENDPOINT_UPDATE_DELAY, Event::NotifyEntries(endpoint_index));
        self.change_role_if_drained(now, endpoint_index);
    }

    /// Starts the role change of a draining engine once it is idle.
    pub(super) fn change_role_if_drained(&mut self, now: Time, endpoint_index: usize) {
        let endpoint = &mut self.endpoints[endpoint_index];
        let idle = endpoint.engine.as_ref().is_some_and(Engine::is_idle);
        if endpoint.next_role.is_some() && !endpoint.changing && idle {
            endpoint.changing = true;
            endpoint.epoch += 1;
            let epoch = endpoint.epoch;
            let done = now + self.trace.header.deployment.speed.role_change();
            self.queue.push(done, Event::RoleChanged { endpoint_index, epoch });
        }
    }

    /// Puts a new engine with an empty cache in place of the old one.
    pub(super) fn finish_role_change(&mut self, now: Time, endpoint_index: usize, epoch: u32) {
        let speed = self.trace.header.deployment.speed;
        let endpoint = &mut self.endpoints[endpoint_index];
        let Some(role) = endpoint.next_role.filter(|_| endpoint.epoch == epoch) else { return };
        endpoint.engine = Some(Engine::new(role, speed));
        endpoint.admission.set_limits(Limits::engine(role).streams(speed.streams));
        endpoint.next_role = None;
        endpoint.planned_role = None;
        endpoint.changing = false;
        self.queue.push(now + ENDPOINT_UPDATE_DELAY, Event::NotifyEntries(endpoint_index));
    }

    /// Removes an endpoint; its requests are routed again once the entries know of the loss.
    pub(super) fn lose_endpoint(&mut self, now: Time, endpoint_index: usize) {
        self.endpoints[endpoint_index].lose();
        self.queue.push(now + ENDPOINT_UPDATE_DELAY, Event::NotifyEntries(endpoint_index));
        let interrupted: Vec<usize> = (0..self.states.len())
            .filter(|it| self.states[*it].assigned_endpoint == Some(endpoint_index))
            .collect();
        for request_index in interrupted {
            self.states[request_index].assigned_endpoint = None;
            if self.states[request_index].end.is_none() {
                self.queue.push(now + ENDPOINT_UPDATE_DELAY, Event::Probe(request_index));
            }
        }
    }
}
