//! Deterministic simulation of processes, engines and one object store, driven by a schedule.

pub(crate) mod engine;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod schedule;
pub(crate) mod store;

mod acts;
mod agents;
mod calls;
mod entries;
mod replicas;
mod violation;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use self::engine::Engine;
use self::message::{Input, Msg};
use self::node::{Cores, Node};
use self::schedule::{AGENTS, ENTRIES, FAULTS_MS, Schedule};
use self::store::Store;

pub(crate) use self::violation::Violation;

/// Interval at which a process sends its revisions to a random peer.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the last fault by which the system must have converged, in milliseconds.
const CONVERGENCE_MS: u64 = 45_000;

/// State of the simulation.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Time,
    queue: BTreeMap<(Time, u64), Msg>,
    seq: u64,
    rng: Pcg64,
    pub(crate) store: Store,
    pub(crate) nodes: Vec<Node>,
    pub(crate) engines: Vec<Engine>,
    /// End of the current outage of the platform.
    outage_until: Time,
    /// Until when results of calls and orders are lost.
    losing_results_until: Time,
    /// Endpoints that operators want drained.
    drains: BTreeSet<EndpointName>,
    /// Whether the schedule steps a clock, so that two processes may hold the lease.
    steps_clocks: bool,
    violation: Option<Violation>,
    /// Lines of the event log for a snapshot; `None` if it isn't recorded.
    pub(crate) event_log: Option<Vec<String>>,
}

/// Runs a schedule. A quarter of the seeds also check that the system converges after the faults.
pub(crate) fn run(schedule: Schedule) -> Result<(), Violation> {
    let checks_convergence = schedule.seed.is_multiple_of(4);
    let mut world = World::new(schedule);
    world.run_until(Time::from_millis(FAULTS_MS))?;
    if checks_convergence {
        world.run_until(Time::from_millis(FAULTS_MS + CONVERGENCE_MS))?;
        world.check_converged()?;
    }
    Ok(())
}

impl World {
    pub(crate) fn new(schedule: Schedule) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            queue: BTreeMap::new(),
            seq: 0,
            rng: Pcg64::seed_from_u64(schedule.seed),
            store: Store::default(),
            nodes: Vec::new(),
            engines: Vec::new(),
            outage_until: Time::ZERO,
            losing_results_until: Time::ZERO,
            drains: BTreeSet::new(),
            steps_clocks: schedule.steps_clocks(),
            violation: None,
            event_log: None,
        };
        for agent in 0..AGENTS {
            let endpoint = EndpointName::try_from(format!("clerk-lm-{agent}")).unwrap();
            world.engines.push(Engine::new(endpoint, agent == 0));
        }
        for index in 0..ENTRIES + AGENTS {
            let seed = world.rng.next_u64() >> 1;
            world.nodes.push(Node::new(index, 1, Time::ZERO, seed));
            world.push(Duration::ZERO, Msg::Start(index));
            world.push(GOSSIP_INTERVAL, Msg::Gossip(index));
        }
        for (at, act) in schedule.acts {
            world.push(Duration::from_millis(at), Msg::Act(act));
        }
        world
    }

    pub(crate) fn run_until(&mut self, end: Time) -> Result<(), Violation> {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let msg = entry.remove();
            self.step(msg);
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        self.now = end;
        Ok(())
    }

    pub(crate) fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(event_log) = &mut self.event_log {
            event_log.push(format!("{now} {}", line()));
        }
    }

    fn step(&mut self, msg: Msg) {
        match msg {
            Msg::Deliver { node, incarnation, input } => self.deliver(node, incarnation, input),
            Msg::Call { node, incarnation, origin, op } => {
                self.call_arrives(node, incarnation, origin, op)
            }
            Msg::LateWrite(object) => {
                self.write(&object);
            }
            Msg::ReadState { node, incarnation } => self.state_read(node, incarnation),
            Msg::Order { node, incarnation, order, lost } => {
                self.order_arrives(node, incarnation, order, lost)
            }
            Msg::Gossip(node) => self.gossip(node),
            Msg::Start(node) => self.start(node),
            Msg::Act(act) => self.act(act),
        }
    }

    /// Delivers an input to a process: later if the process is paused, not at all if it was killed.
    fn deliver(&mut self, node: usize, incarnation: u64, input: Input) {
        let target = &self.nodes[node];
        if !target.alive || target.incarnation != incarnation {
            return;
        }
        if target.paused_until > self.now {
            let span = target.paused_until.since(self.now);
            return self.push(span, Msg::Deliver { node, incarnation, input });
        }
        match input {
            Input::Wake(at) => self.wake(node, at),
            Input::Reply(origin, reply) => self.replied(node, origin, reply),
            Input::Watched(kind, body) => self.watched(node, kind, body),
            Input::WatchEnded(kind) => self.watch_ended(node, kind),
            Input::Frame(from, frame) => self.frame(node, from, frame),
            Input::State(state) => self.engine_state(node, state),
            Input::Answered(outcome) => self.order_answered(node, outcome),
            Input::Drained => self.drained(node),
        }
    }

    fn start(&mut self, node: usize) {
        self.nodes[node].alive = true;
        if node < 2 {
            self.become_watcher(node);
        }
        self.tick(node);
    }

    fn wake(&mut self, node: usize, at: Time) {
        if self.nodes[node].wake_at == Some(at) {
            self.nodes[node].wake_at = None;
            self.tick(node);
        }
    }

    fn tick(&mut self, node: usize) {
        match self.nodes[node].cores {
            Cores::Entry(_) => self.tick_entry(node),
            Cores::Agent(_) => self.tick_agent(node),
        }
        self.tick_replicas(node);
    }

    /// Current time on the clock of a process.
    fn local(&self, node: usize) -> Time {
        self.now + Duration::from_micros(self.nodes[node].skew)
    }

    fn wake_at(&mut self, node: usize, local: Time) {
        let span = local.since(self.local(node));
        let at = self.now + span;
        if self.nodes[node].wake_at.is_none_or(|it| at < it) {
            self.nodes[node].wake_at = Some(at);
            self.send(node, span, Input::Wake(at));
        }
    }

    fn send(&mut self, node: usize, span: Duration, input: Input) {
        let incarnation = self.nodes[node].incarnation;
        self.push(span, Msg::Deliver { node, incarnation, input });
    }

    fn push(&mut self, span: Duration, msg: Msg) {
        self.seq += 1;
        self.queue.insert((self.now + span, self.seq), msg);
    }

    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    /// Random time between two numbers of milliseconds, uniformly distributed.
    fn random_span(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_micros(from * 1_000 + self.random_below((to - from) * 1_000))
    }

    fn is_partitioned(&self, node: usize) -> bool {
        self.nodes[node].partitioned_until > self.now
    }

    fn fail(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    fn check_converged(&mut self) -> Result<(), Violation> {
        let plan = self.store.plan();
        let holders: Vec<_> = (0..ENTRIES).filter_map(|it| self.authority(it)).collect();
        if holders != [plan.term] {
            return Err(Violation::NotConverged("the lease"));
        }
        let newest = self.store.newest_configuration();
        if self.nodes.iter().any(|it| it.configuration.revision() != newest) {
            return Err(Violation::NotConverged("the configuration"));
        }
        if self.nodes.iter().any(|it| it.plan.revision() != plan.revision) {
            return Err(Violation::NotConverged("the plan"));
        }
        let now = self.now;
        for engine in &mut self.engines {
            let desired = plan.endpoints.get(&engine.endpoint).and_then(|it| it.target.clone());
            if desired.is_some_and(|it| it != engine.state(now).target()) {
                return Err(Violation::NotConverged("an engine"));
            }
        }
        Ok(())
    }
}
