//! Discrete-event simulation of a deployment: a virtual clock, the decision cores and simulated endpoints.

mod agents;
mod control;
mod endpoints;
mod entries;
mod event;
mod simulated_endpoint;

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{EndpointName, EndpointState, Role, Time};
use daisychute_policy::{Candidate, DemandMeter};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::event::{Event, EventQueue};
use self::simulated_endpoint::SimulatedEndpoint;
use super::options::Options;
use super::report::{Report, Sample, histogram, sample_index};
use super::request_state::RequestState;
use super::role_policy::RolePolicy;
use super::routing_policy::RoutingPolicy;
use crate::trace::{Fault, Request, Trace};

const PLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Time from a plan until the agent starts the role change.
const PLAN_APPLY_DELAY: Duration = Duration::from_millis(300);
/// Time until an entry learns that an endpoint drains, is back or is lost.
const ENDPOINT_UPDATE_DELAY: Duration = Duration::from_millis(100);
/// Delay before retrying a request that a decode engine refused or for which no decode engine is available.
const DECODE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of attempts after which a request is refused. A request that may wait or has already emitted tokens isn't
/// refused; it pauses after every `MAX_ATTEMPTS` attempts and may then use endpoints that refused it before.
const MAX_ATTEMPTS: u32 = 4;

/// State of one replay: `R` plans the roles, and each entry has its own `C`, which selects endpoints.
pub(super) struct World<'a, R, C> {
    trace: &'a Trace,
    options: Options,
    roles: R,
    // Routing policy of each entry.
    routing_policies: Vec<C>,
    // Demand meters, one for each entry.
    meters: Vec<DemandMeter>,
    endpoints: Vec<SimulatedEndpoint>,
    endpoint_indices: BTreeMap<EndpointName, usize>,
    // By index of the request in the trace, as `blocks` is.
    states: Vec<RequestState>,
    // Block hashes of the shared prefix of each request.
    blocks: Vec<Vec<u64>>,
    queue: EventQueue,
    rng: Pcg64Mcg,
    // Inter-token latencies in microseconds, of classes with a target for them.
    token_gaps: Histogram<u64>,
    // Number of open requests.
    open_requests: usize,
    role_changes: u32,
    counted_completions: u32,
    prompt_tokens: u64,
    cached_tokens: u64,
    samples: Vec<Sample>,
}

impl<'a, R: RolePolicy, C: RoutingPolicy> World<'a, R, C> {
    pub(super) fn new(
        trace: &'a Trace,
        options: Options,
        initial_roles: &[Role],
        roles: R,
        new_routing: impl Fn() -> C,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let deployment = &trace.header.deployment;
        let engines = deployment
            .engines
            .iter()
            .zip(initial_roles)
            .map(|(it, role)| SimulatedEndpoint::engine(it.clone(), *role, deployment.speed));
        let workers = deployment.workers.iter().map(|it| SimulatedEndpoint::service(it.clone()));
        let endpoints: Vec<SimulatedEndpoint> = engines.chain(workers).collect();
        let endpoint_indices =
            endpoints.iter().enumerate().map(|(i, it)| (it.name().clone(), i)).collect();
        let states: Vec<RequestState> = trace
            .requests
            .iter()
            .map(|_| RequestState::new(rng.random_range(0..options.entries)))
            .collect();
        let mut world = Self {
            trace,
            options,
            roles,
            routing_policies: (0..options.entries).map(|_| new_routing()).collect(),
            meters: (0..options.entries).map(|_| DemandMeter::new()).collect(),
            endpoint_indices,
            open_requests: states.len(),
            states,
            blocks: trace.requests.iter().map(Request::blocks).collect(),
            queue: EventQueue::default(),
            rng,
            token_gaps: histogram(),
            role_changes: 0,
            counted_completions: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            samples: Vec::new(),
            endpoints,
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        for endpoint_index in 0..self.endpoints.len() {
            self.notify_entries(Time::ZERO, endpoint_index);
        }
        for (i, request) in self.trace.requests.iter().enumerate() {
            self.queue.push(request.at(), Event::Probe(i));
        }
        for fault in &self.trace.header.faults {
            let Fault::EngineLost { at_ms, endpoint } = fault;
            let endpoint_index = self.endpoint_indices[endpoint];
            self.queue.push(Time::from_millis(*at_ms), Event::EngineLost(endpoint_index));
        }
        self.queue.push(Time::ZERO, Event::SendReports);
        self.queue.push(Time::ZERO + PLAN_INTERVAL, Event::PlanRoles);
    }

    pub(super) fn run(mut self) -> Report {
        while self.open_requests > 0 {
            let Some((now, event)) = self.queue.pop() else { break };
            self.take_samples(now);
            self.handle(now, event);
        }
        let mut report = Report::new(self.trace, &self.states, &self.token_gaps);
        report.role_changes = self.role_changes;
        report.counted_completions = self.counted_completions;
        report.cached = self.cached_tokens as f64 / (self.prompt_tokens as f64).max(1.0);
        report.samples = self.samples;
        report.fill_samples(self.trace, &self.states);
        report
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Probe(request) => self.probe(now, request),
            Event::Select(request) => self.select(now, request),
            Event::Submit { request, endpoint_index, phase, cached } => {
                self.submit(now, request, endpoint_index, phase, cached);
            }
            Event::SelectDecode { request, source_endpoint } => {
                self.select_decode(now, request, source_endpoint);
            }
            Event::StepEnd { endpoint_index, epoch } => self.end_step(now, endpoint_index, epoch),
            Event::CallEnd { endpoint_index, request, epoch } => {
                self.finish_call(now, endpoint_index, request, epoch)
            }
            Event::SendReports => self.send_reports(now),
            Event::DeliverReport { endpoint_index, report } => {
                self.deliver_report(now, endpoint_index, report)
            }
            Event::PlanRoles => self.plan_roles(now),
            Event::StartRoleChange { endpoint_index, role } => {
                self.start_role_change(now, endpoint_index, role)
            }
            Event::RoleChanged { endpoint_index, epoch } => {
                self.finish_role_change(now, endpoint_index, epoch)
            }
            Event::NotifyEntries(endpoint_index) => self.notify_entries(now, endpoint_index),
            Event::EngineLost(endpoint_index) => self.lose_endpoint(now, endpoint_index),
            Event::AdmissionTick { endpoint_index } => {
                self.endpoints[endpoint_index].tick_scheduled = false;
                self.dispatch_queued(now, endpoint_index);
            }
        }
    }

    /// Adds the samples that are due up to `now`.
    fn take_samples(&mut self, now: Time) {
        while self.samples.len() <= sample_index(now) {
            let at = self.samples.len() as f64 * Report::SAMPLE;
            let mut sample = Sample { at, ..Sample::default() };
            for endpoint in &self.endpoints {
                endpoint.count(&mut sample);
            }
            self.samples.push(sample);
        }
    }
}

impl SimulatedEndpoint {
    fn state(&self) -> EndpointState {
        if self.is_closed() { EndpointState::Leaving } else { EndpointState::Live }
    }

    fn candidate(&self, deployment: &crate::trace::Deployment, distance: Duration) -> Candidate {
        let (name, data_centre) = (self.name().clone(), self.location.data_centre.clone());
        let candidate = match &self.engine {
            Some(engine) => {
                Candidate::engine(name, data_centre, deployment.model.clone()).role(engine.role)
            }
            None => Candidate::service(name, data_centre, deployment.service.clone()),
        };
        candidate.distance(distance).live(self.state() == EndpointState::Live)
    }
}
