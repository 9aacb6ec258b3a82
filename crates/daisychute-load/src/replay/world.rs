//! The replay itself: a virtual clock, the cores, and the fakes behind them.

mod agents;
mod control;
mod endpoints;
mod entries;
mod event;
mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{EndpointName, EndpointState, Role, Time};
use daisychute_policy::{Candidate, DemandMeter};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::event::{Event, EventQueue};
use self::site::Site;
use super::flight::Flight;
use super::options::Options;
use super::report::{Report, Sample, histogram, sample_place};
use super::roles::Roles;
use super::routing::Routing;
use crate::trace::{Fault, Request, Trace};

/// How often the planner plans.
const PLAN_EVERY: Duration = Duration::from_secs(2);
/// The time from a plan to the agent that carries it out.
const PLAN_DELAY: Duration = Duration::from_millis(300);
/// The time until an entry learns that an endpoint leaves, is back or is lost.
const NEWS_DELAY: Duration = Duration::from_millis(100);
/// The time until a request whose decode engine had no place tries again.
const DECODE_RETRY: Duration = Duration::from_millis(50);
/// Tries of a request that refuses for load can follow.
const MAX_ATTEMPTS: u32 = 4;

/// One replay.
pub(super) struct World<'a, R, C> {
    trace: &'a Trace,
    options: Options,
    roles: R,
    entries: Vec<C>,
    meters: Vec<DemandMeter>,
    sites: Vec<Site>,
    places: BTreeMap<EndpointName, usize>,
    flights: Vec<Flight>,
    blocks: Vec<Vec<u64>>,
    queue: EventQueue,
    rng: Pcg64Mcg,
    gaps: Histogram<u64>,
    open: usize,
    role_changes: u32,
    prompt_tokens: u64,
    cached_tokens: u64,
    samples: Vec<Sample>,
}

impl<'a, R: Roles, C: Routing> World<'a, R, C> {
    pub(super) fn new(
        trace: &'a Trace,
        options: Options,
        initial: &[Role],
        roles: R,
        entry: impl Fn() -> C,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let deployment = &trace.header.deployment;
        let engines = deployment
            .engines
            .iter()
            .zip(initial)
            .map(|(it, role)| Site::engine(it.clone(), *role, deployment.speed));
        let workers = deployment.workers.iter().map(|it| Site::service(it.clone()));
        let sites: Vec<Site> = engines.chain(workers).collect();
        let places = sites.iter().enumerate().map(|(i, it)| (it.name().clone(), i)).collect();
        let flights: Vec<Flight> = trace
            .requests
            .iter()
            .map(|_| Flight::new(rng.random_range(0..options.entries)))
            .collect();
        let mut world = Self {
            trace,
            options,
            roles,
            entries: (0..options.entries).map(|_| entry()).collect(),
            meters: (0..options.entries).map(|_| DemandMeter::new()).collect(),
            places,
            open: flights.len(),
            flights,
            blocks: trace.requests.iter().map(Request::blocks).collect(),
            queue: EventQueue::default(),
            rng,
            gaps: histogram(),
            role_changes: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            samples: Vec::new(),
            sites,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for place in 0..self.sites.len() {
            self.tell_entries(Time::ZERO, place);
        }
        for (i, request) in self.trace.requests.iter().enumerate() {
            self.queue.push(request.at(), Event::Route(i));
        }
        for fault in &self.trace.header.faults {
            let Fault::EngineLost { at_ms, endpoint } = fault;
            let place = self.places[endpoint];
            self.queue.push(Time::from_millis(*at_ms), Event::Lost(place));
        }
        self.queue.push(Time::ZERO, Event::Reports);
        self.queue.push(Time::ZERO + PLAN_EVERY, Event::Plan);
    }

    pub(super) fn run(mut self) -> Report {
        while self.open > 0 {
            let Some((now, event)) = self.queue.pop() else { break };
            self.sample(now);
            self.handle(now, event);
        }
        let mut report = Report::new(self.trace, &self.flights, &self.gaps);
        report.role_changes = self.role_changes;
        report.cached = self.cached_tokens as f64 / (self.prompt_tokens as f64).max(1.0);
        report.samples = self.samples;
        report.fill_samples(self.trace, &self.flights);
        report
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Route(flight) => self.probe(now, flight),
            Event::Choose(flight) => self.choose(now, flight),
            Event::Offer { flight, place, phase, cached } => {
                self.offer(now, flight, place, phase, cached);
            }
            Event::Decode { flight, data_centre_of } => {
                self.choose_decode(now, flight, data_centre_of);
            }
            Event::Step { place, epoch } => self.end_step(now, place, epoch),
            Event::CallDone { place, flight, epoch } => self.call_done(now, place, flight, epoch),
            Event::Reports => self.reports(now),
            Event::Deliver { place, report } => self.deliver(now, place, report),
            Event::Plan => self.plan(now),
            Event::Change { place, role } => self.start_change(now, place, role),
            Event::Changed { place, epoch } => self.end_change(now, place, epoch),
            Event::News(place) => self.tell_entries(now, place),
            Event::Lost(place) => self.lose(now, place),
            Event::Tick { place } => {
                self.sites[place].ticking = false;
                self.pump(now, place);
            }
        }
    }

    fn sample(&mut self, now: Time) {
        while self.samples.len() <= sample_place(now) {
            let at = self.samples.len() as f64 * Report::SAMPLE;
            let mut sample = Sample { at, ..Sample::default() };
            for site in &self.sites {
                site.count(&mut sample);
            }
            self.samples.push(sample);
        }
    }
}

impl Site {
    fn state(&self) -> EndpointState {
        if self.is_closed() { EndpointState::Leaving } else { EndpointState::Live }
    }

    fn candidate(&self, deployment: &crate::trace::Deployment, distance: Duration) -> Candidate {
        let (name, data_centre) = (self.name().clone(), self.site.data_centre.clone());
        let candidate = match &self.engine {
            Some(engine) => {
                Candidate::engine(name, data_centre, deployment.model.clone()).role(engine.role)
            }
            None => Candidate::service(name, data_centre, deployment.service.clone()),
        };
        candidate.distance(distance).live(self.state() == EndpointState::Live)
    }
}
