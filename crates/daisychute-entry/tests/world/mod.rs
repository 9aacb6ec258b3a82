//! A simulation of entry and agent cores, connected by links that lose, delay and duplicate frames.

mod client;
mod endpoint;
mod wire;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use daisychute_agent::Fifo;
use daisychute_agent::core::{Action as AgentAction, AgentConfig, AgentCore, Event as AgentEvent};
use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, EngineTarget, Incarnation, Precedence, RequestId,
    Revisions, Role, Time,
};
use daisychute_entry::LeastLoad;
use daisychute_entry::core::{Action, EntryConfig, EntryCore, Event, LinkEnd, Submission};
use daisychute_link::LinkId;
use daisychute_proto::{
    Call, Completion, Frame, Hello, PROTOCOL_VERSION, ProcessRole, Prompt, Work,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) use self::client::Client;
pub(crate) use self::endpoint::{Endpoint, text};
use self::wire::Wire;

const ENTRIES: usize = 2;
const ENGINES: usize = 3;
const SERVICES: usize = 2;
const AGENTS: usize = ENGINES + SERVICES;
/// Maximum number of requests in one schedule.
const REQUESTS: usize = 8;
/// Number of steps of one schedule during which faults are injected.
const FAULT_STEPS: usize = 220;
/// Number of checks after the last fault; the last one follows `SETTLE_TIME`.
const SETTLE_ROUNDS: usize = 6;
/// Longer than any deadline, grace period and retention time, so that all state must have expired.
const SETTLE_TIME: Duration = Duration::from_secs(400);
const FIRST_PORT: u16 = 4_000;

struct Agent {
    core: AgentCore<Fifo>,
    endpoint: Endpoint,
    alive: bool,
    last_link: u64,
}

/// Kinds of frame faults that a schedule injects, besides lost connections and killed agents.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Some frames are delivered twice.
    pub(crate) duplicates: bool,
    /// Some frames are lost although their connection stays up.
    pub(crate) losses: bool,
    /// Some entries and agents shut down with requests that may outlast their drain.
    pub(crate) stops: bool,
    /// Some agents without jobs leave, after their frames have arrived on the connections that are up.
    pub(crate) goodbyes: bool,
}

pub(crate) struct World {
    now: Time,
    rng: Pcg64Mcg,
    faults: Faults,
    entries: Vec<EntryCore<LeastLoad>>,
    agents: Vec<Agent>,
    wires: Vec<Wire>,
    clients: BTreeMap<RequestId, Client>,
    /// Number of times that each request was run by an endpoint.
    executions: BTreeMap<RequestId, u32>,
    incarnations: u64,
}

impl World {
    pub(crate) fn new(seed: u64, faults: Faults) -> Self {
        let mut world = Self {
            now: Time::from_millis(1),
            rng: Pcg64Mcg::seed_from_u64(seed),
            faults,
            entries: Vec::new(),
            agents: Vec::new(),
            wires: Vec::new(),
            clients: BTreeMap::new(),
            executions: BTreeMap::new(),
            incarnations: 0,
        };
        for _ in 0..ENTRIES {
            let incarnation = world.next_incarnation();
            world.entries.push(EntryCore::new(
                EntryConfig::default(),
                LeastLoad::default(),
                incarnation,
            ));
        }
        for index in 0..AGENTS {
            let agent = world.new_agent(index);
            world.agents.push(agent);
        }
        world.send_endpoint_list();
        world.advance(Duration::from_millis(10));
        world
    }

    /// Runs a schedule and checks the invariants after each step.
    pub(crate) fn run(mut self) {
        let mut submitted = 0;
        for _ in 0..FAULT_STEPS {
            if submitted < REQUESTS && self.rng.random_bool(0.1) {
                self.submit();
                submitted += 1;
            }
            self.step();
            self.check();
        }
        self.settle();
    }

    fn next_incarnation(&mut self) -> Incarnation {
        self.incarnations += 1;
        Incarnation::new(self.incarnations)
    }

    fn new_agent(&mut self, index: usize) -> Agent {
        let incarnation = self.next_incarnation();
        let core = AgentCore::new(AgentConfig::default(), Fifo::new(2), record(index, incarnation));
        Agent { core, endpoint: Endpoint::default(), alive: true, last_link: 0 }
    }

    fn send_endpoint_list(&mut self) {
        let records: Vec<EndpointRecord> =
            (0..AGENTS).map(|it| record(it, Incarnation::default())).collect();
        for entry in 0..ENTRIES {
            self.feed_entry(entry, Event::Endpoints(records.clone()));
        }
    }

    fn step(&mut self) {
        if self.faults.stops && self.rng.random_bool(0.02) {
            self.stop_any();
        }
        if self.faults.goodbyes && self.rng.random_bool(0.02) {
            return self.leave_any();
        }
        match self.rng.random_range(0..100) {
            0..45 => self.deliver_any(),
            45..75 => self.endpoint_step(),
            75..85 => {
                let millis = self.rng.random_range(1..400);
                self.advance(Duration::from_millis(millis));
            }
            85..89 => self.cut_any(),
            89..91 => self.kill_any(),
            91..93 => self.restart_any(),
            93..95 => self.drain_any(),
            95..97 => self.disconnect_any_client(),
            _ => self.break_any_run(),
        }
    }

    fn submit(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let id = self.entries[entry].next_id();
        let kind = self.rng.random_range(0..3);
        let submission = submission(id, kind);
        self.clients.insert(id, Client::new(entry, &submission));
        self.feed_entry(entry, Event::Submit { id, submission: Box::new(submission) });
    }

    fn feed_entry(&mut self, entry: usize, event: Event) {
        let mut actions = Vec::new();
        self.entries[entry].handle(self.now, event, &mut actions);
        for action in actions {
            self.act_for_entry(entry, action);
        }
    }

    fn act_for_entry(&mut self, entry: usize, action: Action) {
        match action {
            Action::Connect { link, addr } => {
                self.connect(entry, link, usize::from(addr.port() - FIRST_PORT))
            }
            Action::Send { link, frame } => {
                if let Some(wire) =
                    self.wires.iter_mut().find(|it| it.entry == entry && it.entry_link == link)
                {
                    wire.to_agent.push_back(*frame);
                }
            }
            Action::Close { link } => {
                self.wires
                    .iter_mut()
                    .filter(|it| it.entry == entry && it.entry_link == link)
                    .for_each(Wire::cut);
            }
            Action::Respond { id, part } => {
                let client = self.clients.get_mut(&id).expect("a response has a client");
                if let Some(bytes) = client.receive(entry, part) {
                    self.feed_entry(entry, Event::ClientRead { id, bytes });
                }
            }
            Action::PeerRevisions { .. } | Action::Control { .. } => {}
        }
    }

    fn connect(&mut self, entry: usize, link: LinkId, index: usize) {
        if !self.agents[index].alive {
            return self.feed_entry(entry, Event::LinkDown { link, end: LinkEnd::AgentTerminated });
        }
        let agent = &mut self.agents[index];
        agent.last_link += 1;
        let agent_link = LinkId::new(agent.last_link);
        let hello = hello(agent.core.record());
        self.wires.push(Wire::new(entry, link, index, agent_link));
        self.feed_agent(index, AgentEvent::LinkUp { link: agent_link });
        self.feed_entry(entry, Event::LinkUp { link, hello: Box::new(hello) });
    }

    fn feed_agent(&mut self, index: usize, event: AgentEvent) {
        let mut actions = Vec::new();
        self.agents[index].core.handle(self.now, event, &mut actions);
        for action in actions {
            self.act_for_agent(index, action);
        }
    }

    fn act_for_agent(&mut self, index: usize, action: AgentAction) {
        match action {
            AgentAction::Send { link, frame } => {
                if let Some(wire) =
                    self.wires.iter_mut().find(|it| it.agent == index && it.agent_link == link)
                {
                    wire.to_entry.push_back(*frame);
                }
            }
            AgentAction::Run { start } => {
                if let Some(id) = self.agents[index].endpoint.start(&start) {
                    *self.executions.entry(id).or_default() += 1;
                }
            }
            AgentAction::ResumeRun { start, from_tokens } => {
                self.agents[index].endpoint.resume(&start, from_tokens);
            }
            AgentAction::Abort { id, .. } => self.agents[index].endpoint.abort(id),
        }
    }

    fn deliver_any(&mut self) {
        if self.wires.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.wires.len());
        let to_agent = self.rng.random_bool(0.5);
        self.deliver(at, to_agent);
    }

    fn deliver(&mut self, at: usize, to_agent: bool) {
        let wire = &mut self.wires[at];
        let queue = if to_agent { &mut wire.to_agent } else { &mut wire.to_entry };
        let Some(frame) = queue.pop_front() else { return };
        let open = if to_agent { wire.agent_up } else { wire.entry_up };
        let lost = self.faults.losses && self.rng.random_bool(0.02);
        let times = if self.faults.duplicates && self.rng.random_bool(0.05) { 2 } else { 1 };
        if !open || lost {
            return;
        }
        for _ in 0..times {
            self.handle_frame(at, to_agent, frame.clone());
        }
    }

    fn handle_frame(&mut self, at: usize, to_agent: bool, frame: Frame) {
        let Wire { entry, entry_link, agent, agent_link, .. } = self.wires[at];
        let frame = Box::new(frame);
        if to_agent {
            self.feed_agent(agent, AgentEvent::Frame { link: agent_link, frame });
        } else {
            self.feed_entry(entry, Event::Frame { link: entry_link, frame });
        }
    }

    /// Takes a connection down on one side; the other side may notice much later.
    fn cut_any(&mut self) {
        if self.wires.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.wires.len());
        let entry_side = self.rng.random_bool(0.5);
        self.cut(at, entry_side);
    }

    fn cut(&mut self, at: usize, entry_side: bool) {
        let Wire { entry, entry_link, agent, agent_link, entry_up, agent_up, .. } = self.wires[at];
        if entry_side && entry_up {
            self.wires[at].entry_up = false;
            self.feed_entry(
                entry,
                Event::LinkDown { link: entry_link, end: LinkEnd::ConnectionLost },
            );
        } else if !entry_side && agent_up {
            self.wires[at].agent_up = false;
            self.feed_agent(agent, AgentEvent::LinkDown { link: agent_link });
        }
    }

    fn kill_any(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        self.agents[index].alive = false;
        self.agents[index].endpoint.stop();
        for at in 0..self.wires.len() {
            if self.wires[at].agent == index {
                self.wires[at].agent_up = false;
                self.wires[at].to_agent.clear();
            }
        }
    }

    /// Lets an agent without jobs say goodbye and exit.
    fn leave_any(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if !self.agents[index].alive || !self.agents[index].core.jobs().is_empty() {
            return;
        }
        self.agents[index].alive = false;
        self.agents[index].endpoint.stop();
        for at in 0..self.wires.len() {
            if self.wires[at].agent != index || !self.wires[at].agent_up {
                continue;
            }
            self.wires[at].agent_up = false;
            self.wires[at].to_agent.clear();
            while self.wires[at].entry_up
                && let Some(frame) = self.wires[at].to_entry.pop_front()
            {
                self.handle_frame(at, false, frame);
            }
            let Wire { entry, entry_link, entry_up, .. } = self.wires[at];
            if entry_up {
                self.wires[at].entry_up = false;
                let end = LinkEnd::AgentShutDown;
                self.feed_entry(entry, Event::LinkDown { link: entry_link, end });
            }
        }
    }

    fn restart_any(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if self.agents[index].alive {
            return;
        }
        for at in 0..self.wires.len() {
            if self.wires[at].agent == index {
                self.cut(at, true);
            }
        }
        let last_link = self.agents[index].last_link;
        self.agents[index] = Agent { last_link, ..self.new_agent(index) };
    }

    /// Asks an entry or an agent to shut down. It stays as it is after its drain, until an agent is killed.
    fn stop_any(&mut self) {
        let deadline = self.now + Duration::from_millis(self.rng.random_range(0..3_000));
        if self.rng.random_bool(0.2) {
            let entry = self.rng.random_range(0..ENTRIES);
            self.feed_entry(entry, Event::ShutdownAnnounced { deadline });
            if self.rng.random_bool(0.5) {
                self.feed_entry(entry, Event::Shutdown);
            }
            return;
        }
        let index = self.rng.random_range(0..AGENTS);
        if self.agents[index].alive {
            self.feed_agent(index, AgentEvent::Shutdown { deadline });
        }
    }

    fn drain_any(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        let drain = self.rng.random_bool(0.5);
        if self.agents[index].alive {
            self.feed_agent(index, AgentEvent::Drain(drain));
        }
    }

    fn disconnect_any_client(&mut self) {
        let open: Vec<RequestId> =
            self.clients.iter().filter(|it| it.1.is_open()).map(|it| *it.0).collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.rng.random_range(0..open.len())];
        let client = self.clients.get_mut(&id).expect("the id comes from the map");
        client.disconnect();
        let entry = client.entry();
        self.feed_entry(entry, Event::ClientDisconnected { id });
    }

    fn endpoint_step(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if !self.agents[index].alive {
            return;
        }
        let pick = self.rng.random_range(0..usize::MAX);
        if let Some((id, attempt, report)) = self.agents[index].endpoint.step(pick) {
            self.feed_agent(index, AgentEvent::Endpoint { id, attempt, report });
        }
    }

    fn break_any_run(&mut self) {
        let index = self.rng.random_range(0..AGENTS);
        if !self.agents[index].alive {
            return;
        }
        let pick = self.rng.random_range(0..usize::MAX);
        let forget = self.rng.random_bool(0.5);
        if let Some((id, attempt, report)) = self.agents[index].endpoint.break_one(pick, forget) {
            self.feed_agent(index, AgentEvent::Endpoint { id, attempt, report });
        }
    }

    fn advance(&mut self, span: Duration) {
        let until = self.now + span;
        loop {
            let entry =
                self.entries.iter().map(EntryCore::wake_at).min().expect("there are entries");
            let agent = self.agents.iter().filter(|it| it.alive).map(|it| it.core.wake_at()).min();
            let next = agent.map_or(entry, |it| it.min(entry)).max(self.now);
            if next > until {
                break;
            }
            self.now = next;
            for entry in 0..ENTRIES {
                if self.entries[entry].wake_at() <= self.now {
                    self.feed_entry(entry, Event::Wake);
                }
            }
            for index in 0..AGENTS {
                if self.agents[index].alive && self.agents[index].core.wake_at() <= self.now {
                    self.feed_agent(index, AgentEvent::Wake);
                }
            }
        }
        self.now = until;
    }

    /// Finishes all requests without further faults and checks that no state remains.
    fn settle(&mut self) {
        for round in 0..SETTLE_ROUNDS {
            self.deliver_all();
            for index in 0..AGENTS {
                while self.agents[index].alive {
                    let Some((id, attempt, report)) = self.agents[index].endpoint.step(0) else {
                        break;
                    };
                    self.feed_agent(index, AgentEvent::Endpoint { id, attempt, report });
                }
            }
            self.deliver_all();
            let is_last = round == SETTLE_ROUNDS - 1;
            let span = if is_last { SETTLE_TIME } else { Duration::from_secs(1) };
            self.advance_coarsely(span);
            self.check();
        }
        for (id, client) in &self.clients {
            assert!(!client.is_open(), "{id} has no final response part");
        }
        for entry in &self.entries {
            assert!(entry.requests().is_empty(), "an entry still has requests");
        }
        for agent in self.agents.iter().filter(|it| it.alive) {
            assert_eq!(agent.core.open_requests(), 0, "an agent still has open requests");
            assert!(agent.core.jobs().is_empty(), "an agent still has jobs");
            assert_eq!(agent.core.buffered_bytes(), 0, "an agent still buffers bytes");
            assert_eq!(agent.core.outcome_count(), 0, "an agent still stores outcomes");
        }
    }

    /// Advances the time like [`World::advance`], but in large steps with one wake-up each.
    fn advance_coarsely(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + SETTLE_TIME / 4).min(until);
            for entry in 0..ENTRIES {
                self.feed_entry(entry, Event::Wake);
            }
            for index in 0..AGENTS {
                if self.agents[index].alive {
                    self.feed_agent(index, AgentEvent::Wake);
                }
            }
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        let mut at = 0;
        while at < self.wires.len() {
            if self.wires[at].entry_up != self.wires[at].agent_up {
                let entry_side = self.wires[at].entry_up;
                self.cut(at, entry_side);
            }
            at += 1;
        }
        self.wires.retain(|it| it.entry_up && it.agent_up);
        while let Some(at) = self.wires.iter().position(|it| !it.is_empty()) {
            self.deliver(at, true);
            self.deliver(at, false);
        }
    }

    fn check(&self) {
        for entry in &self.entries {
            entry.validate();
        }
        for agent in self.agents.iter().filter(|it| it.alive) {
            agent.core.validate();
        }
        for (id, client) in &self.clients {
            let executions = self.executions.get(id).copied().unwrap_or(0);
            client.check(*id, executions);
        }
    }
}

fn record(index: usize, incarnation: Incarnation) -> EndpointRecord {
    let is_engine = index < ENGINES;
    let name = if is_engine { format!("clerk-lm-{index}") } else { format!("sign-feed-{index}") };
    let target = EngineTarget {
        role: Role::Mixed,
        model: "clerk-lm".try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    };
    let port = FIRST_PORT + u16::try_from(index).unwrap();
    EndpointRecord {
        endpoint: name.as_str().try_into().unwrap(),
        instance: format!("i-{index}").as_str().try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        kind: if is_engine {
            EndpointKind::Engine
        } else {
            EndpointKind::Service("sign-feed".try_into().unwrap())
        },
        agent: ([127, 0, 0, 1], port).into(),
        incarnation,
        state: EndpointState::Live,
        target: is_engine.then_some(target),
    }
}

fn hello(record: &EndpointRecord) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        min_version: PROTOCOL_VERSION,
        process: "agent".try_into().unwrap(),
        incarnation: record.incarnation,
        role: ProcessRole::Agent,
        data_centre: "agdal".try_into().unwrap(),
        region: "morocco".try_into().unwrap(),
        endpoint: Some(record.clone()),
        revisions: Revisions::default(),
    }
}

fn submission(id: RequestId, kind: u32) -> Submission {
    let completion = |max_tokens| {
        Work::Completion(Completion {
            model: "clerk-lm".try_into().unwrap(),
            adapter: None,
            version: None,
            prompt: Prompt::Text(id.to_string()),
            max_tokens,
            options: String::new(),
            emitted: String::new(),
            emitted_tokens: 0,
        })
    };
    let call = |repeatable| {
        Work::Call(Call {
            service: "sign-feed".try_into().unwrap(),
            method: "POST".to_owned(),
            path: "/counts".to_owned(),
            content_type: None,
            body: Bytes::from(id.to_string()),
            key: None,
            repeatable,
        })
    };
    let work = match kind {
        0 => completion(6),
        1 => call(true),
        _ => call(false),
    };
    Submission {
        tenant: "clerks".try_into().unwrap(),
        class: "desk".try_into().unwrap(),
        precedence: Precedence::Interactive,
        deadline: Duration::from_secs(20),
        first_token: None,
        between_tokens: None,
        work,
        continuable: kind == 0,
    }
}
