//! The replay itself: a virtual clock, the cores, and the fakes behind them.

mod event;
mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{
    EndpointName, EndpointState, Incarnation, LoadReport, ModelName, Precedence, Refusal,
    RequestId, Role, Time,
};
use daisychute_policy::{
    Admission, Candidate, Chosen, Decision, Demand, DemandMeter, DemandTable, EngineView, Fleet,
    Limits, Phase, Query, Ticket,
};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::event::{Event, EventQueue};
use self::site::Site;
use super::engine::{Engine, Job, Progress};
use super::flight::{End, Flight};
use super::options::Options;
use super::report::{Report, Sample, histogram, micros, sample_place};
use super::roles::Roles;
use super::routing::Routing;
use crate::trace::{Fault, Request, Trace, Work};

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
                self.choose_decode(now, flight, data_centre_of)
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

    // Entries.

    fn probe(&mut self, now: Time, i: usize) {
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

    fn meter(&mut self, i: usize) {
        let request = self.trace.requests[i];
        let class = &self.trace.header.classes[usize::from(request.class)];
        if class.work == Work::Completion {
            let model = &self.trace.header.deployment.model;
            let meter = &mut self.meters[self.flights[i].entry];
            let (name, precedence) = (&class.class.name, class.class.precedence);
            meter.arrived(model, name, precedence, request.prompt_tokens, request.max_tokens);
        }
    }

    fn choose(&mut self, now: Time, i: usize) {
        let entry = self.flights[i].entry;
        let chosen = self
            .with_query(i, |world, query| world.entries[entry].choose(now, query, &mut world.rng));
        let Ok(chosen) = chosen else {
            self.try_later(now, i, Duration::from_millis(200));
            return;
        };
        if chosen.hand_over > Chosen::MAX_HAND_OVER {
            self.try_later(now, i, chosen.hand_over);
            return;
        }
        let place = self.places[&chosen.endpoint];
        let phase = match (self.is_call(i), chosen.split) {
            (true, _) => Phase::Call,
            (false, true) => Phase::Prefill,
            (false, false) => Phase::Whole,
        };
        let at = now + self.distance(entry, place);
        self.queue.push(at, Event::Offer { flight: i, place, phase, cached: chosen.cached_tokens });
    }

    fn choose_decode(&mut self, now: Time, i: usize, from: usize) {
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
        self.queue.push(at, Event::Offer { flight: i, place, phase: Phase::Decode, cached: 0 });
    }

    /// Another try after a refusal, or the final refusal.
    fn try_later(&mut self, now: Time, i: usize, pause: Duration) {
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

    fn deadline(&self, i: usize) -> Time {
        let request = self.trace.requests[i];
        request.at() + self.trace.header.classes[usize::from(request.class)].class.deadline()
    }

    fn with_query<T>(&mut self, i: usize, ask: impl FnOnce(&mut Self, &Query<'_>) -> T) -> T {
        let request = self.trace.requests[i];
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        let excluded = std::mem::take(&mut self.flights[i].excluded);
        let blocks = std::mem::take(&mut self.blocks[i]);
        let deployment = &self.trace.header.deployment;
        let query = if self.is_call(i) {
            Query::service(&deployment.service)
        } else {
            Query::model(&deployment.model)
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

    fn is_call(&self, i: usize) -> bool {
        let class = usize::from(self.trace.requests[i].class);
        self.trace.header.classes[class].work != Work::Completion
    }

    fn distance(&self, entry: usize, place: usize) -> Duration {
        let deployment = &self.trace.header.deployment;
        let from = &deployment.data_centres[entry % deployment.data_centres.len()];
        deployment.distance(from, &self.sites[place].site.data_centre)
    }

    // Agents.

    fn offer(&mut self, now: Time, i: usize, place: usize, phase: Phase, cached: u32) {
        if self.flights[i].end.is_some() {
            return;
        }
        if self.sites[place].is_closed() {
            self.refused(now, i, place, phase, None);
            return;
        }
        let ticket = self.ticket(i, phase, cached);
        match self.sites[place].admission.offer(now, ticket) {
            Decision::Admitted => self.start(now, i, place, phase),
            Decision::Queued => {
                self.flights[i].at = Some(place);
                self.sites[place].phases.insert(i, phase);
                self.pump(now, place);
            }
            Decision::Refused(refusal) => self.refused(now, i, place, phase, Some(refusal)),
        }
    }

    fn refused(
        &mut self,
        now: Time,
        i: usize,
        place: usize,
        phase: Phase,
        refusal: Option<Refusal>,
    ) {
        self.flights[i].at = None;
        if phase == Phase::Decode && now < self.deadline(i) {
            self.queue.push(now + DECODE_RETRY, Event::Decode { flight: i, data_centre_of: place });
            return;
        }
        self.flights[i].excluded.push(self.sites[place].name().clone());
        let pause = refusal.and_then(|it| it.retry_after).unwrap_or_default();
        let back = self.distance(self.flights[i].entry, place);
        self.try_later(now + back, i, pause);
    }

    fn ticket(&self, i: usize, phase: Phase, cached: u32) -> Ticket {
        let request = self.trace.requests[i];
        let header = &self.trace.header;
        let class = &header.classes[usize::from(request.class)].class;
        let tenant = header.tenants[usize::from(request.tenant)].clone();
        let emitted = self.flights[i].emitted;
        let first_due = class.targets.first_token.map(|it| request.at() + it);
        let first_due = first_due.filter(|_| emitted == 0 && phase != Phase::Decode);
        Ticket::new(self.id(i), tenant, class.name.clone())
            .precedence(class.precedence)
            .deadline(request.at() + class.deadline())
            .first_token(first_due)
            .between_tokens(class.targets.between_tokens)
            .prompt_tokens(request.prompt_tokens + emitted)
            .cached_tokens(cached)
            .max_tokens(request.max_tokens.saturating_sub(emitted).max(1))
            .phase(phase)
    }

    fn id(&self, i: usize) -> RequestId {
        RequestId::new(Incarnation::new(self.flights[i].entry as u64), i as u64)
    }

    /// Hands an admitted request to the endpoint.
    fn start(&mut self, now: Time, i: usize, place: usize, phase: Phase) {
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
            imported: phase == Phase::Decode,
            prefill_only: phase == Phase::Prefill,
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
    fn pump(&mut self, now: Time, place: usize) {
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
            self.queue.push(now + Admission::TICK, Event::Tick { place });
        }
    }

    // Endpoints.

    fn step(&mut self, now: Time, place: usize) {
        let site = &mut self.sites[place];
        let epoch = site.epoch;
        let Some(engine) = &mut site.engine else { return };
        if let Some(end) = engine.begin_step(now) {
            self.queue.push(end, Event::Step { place, epoch });
        }
    }

    fn end_step(&mut self, now: Time, place: usize, epoch: u32) {
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

    fn progress(&mut self, now: Time, place: usize, progress: Progress) {
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

    fn prompt_computed(&mut self, i: usize, place: usize, cached: u32) {
        self.prompt_tokens += u64::from(self.trace.requests[i].prompt_tokens);
        self.cached_tokens += u64::from(cached);
        let name = self.sites[place].name().clone();
        let entry = self.flights[i].entry;
        let blocks = &self.blocks[i];
        self.entries[entry].answered(&name, blocks, cached);
        let model = &self.trace.header.deployment.model;
        self.meters[entry].computed(model, self.trace.requests[i].prompt_tokens, cached);
        for (other, routing) in self.entries.iter_mut().enumerate() {
            if other != entry && self.rng.random::<f64>() >= self.options.cache_events_lost {
                routing.stored(&name, blocks);
            }
        }
    }

    fn token(&mut self, now: Time, id: RequestId) {
        let i = id.seq as usize;
        let class = &self.trace.header.classes[usize::from(self.trace.requests[i].class)].class;
        let target = class.targets.between_tokens;
        let gap = self.flights[i].token(now, target);
        if let (Some(gap), Some(_)) = (gap, target) {
            self.gaps.saturating_record(micros(gap));
        }
    }

    fn finished(&mut self, now: Time, place: usize, id: RequestId) {
        let i = id.seq as usize;
        let site = &mut self.sites[place];
        site.admission.finished(now, id);
        let phase = site.phases.remove(&i).unwrap_or_default();
        self.flights[i].at = None;
        let request = self.trace.requests[i];
        if phase == Phase::Prefill && self.flights[i].emitted < request.output_tokens {
            self.choose_decode(now, i, place);
            return;
        }
        let class = &self.trace.header.classes[usize::from(request.class)].class;
        self.meters[self.flights[i].entry].answered(&class.name, request.output_tokens);
        self.flights[i].end = Some(End::Answered(now));
        self.open -= 1;
    }

    fn call_done(&mut self, now: Time, place: usize, i: usize, epoch: u32) {
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

    // Reports and news.

    fn reports(&mut self, now: Time) {
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

    fn deliver(&mut self, now: Time, place: usize, report: LoadReport) {
        let name = self.sites[place].name().clone();
        for entry in &mut self.entries {
            entry.report(now, &name, report);
        }
    }

    fn tell_entries(&mut self, now: Time, place: usize) {
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

    // Roles.

    fn plan(&mut self, now: Time) {
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

    fn engine_views(&self) -> Vec<EngineView> {
        let model = &self.trace.header.deployment.model;
        let cost = self.trace.header.deployment.speed.prompt_token / 1e6;
        self.sites.iter().filter_map(|it| it.view(model, cost)).collect()
    }

    fn demand(&mut self, now: Time) -> DemandTable {
        let engines = self.sites.iter().filter(|it| it.engine.is_some() && !it.lost);
        let admissions: Vec<&Admission> = engines.map(|it| &it.admission).collect();
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

    fn start_change(&mut self, now: Time, place: usize, role: Role) {
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

    fn end_drain(&mut self, now: Time, place: usize) {
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

    fn end_change(&mut self, now: Time, place: usize, epoch: u32) {
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

    fn lose(&mut self, now: Time, place: usize) {
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

    // The course of the replay.

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
