//! Agents, entries, platform, service and network of one service, in one thread and without a clock.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod schedule;
pub mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{
    Incarnation, ProcessName, Refusal, RefusalReason, RequestId, TenantName, Time,
};
use daisychute_ledger::{
    Answer, CallDigest, CallKey, Destination, KeyOrigin, LedgerAction, LedgerEvent, LedgerLimits,
    OwnerAction, OwnerEvent, OwnerId, OwnerLease, OwnerTable, OwnerTimes, ProcessId, PutResult,
    ReadResult, ServiceLedger, ServiceLedgerAction as Action, ServiceLedgerEvent as Event, SlotMap,
    TakeoverAction, TakeoverCore, TakeoverEvent, Version, WallTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use schedule::{KeyKind, Step};
use store::Objects;

/// The wall clock at time zero, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;
const AGENTS: usize = 3;
const ENTRIES: usize = 2;
const SLOTS: u16 = 4;
const SHELL_PERIOD: Duration = Duration::from_secs(5);

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    Answered { body: Bytes, replayed: bool },
    Refused(Refusal),
}

#[derive(Debug)]
pub struct Request {
    pub key: CallKey,
    pub body: &'static [u8],
    pub outcome: Option<Outcome>,
}

#[derive(Debug)]
pub struct Execution {
    pub key: CallKey,
    pub by: RequestId,
    pub at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Node {
    Agent(usize),
    Entry(usize),
}

#[derive(Debug, Clone)]
enum Put {
    Lease(OwnerId, OwnerLease),
    Table(OwnerTable),
}

#[derive(Debug, Clone)]
enum Message {
    Agent(Event),
    /// A call that reached the agent; the agent reads its clocks itself.
    Start(RequestId),
    /// A call has come to the head of the agent's queue.
    Dequeue(CallKey, RequestId),
    Entry(TakeoverEvent),
    Outcome(RequestId, Outcome),
    Shell,
    Execute(Run),
    Put {
        seq: u64,
        expect: Version,
        put: Put,
    },
    Restart,
    Resume,
}

#[derive(Debug, Clone)]
struct Run {
    key: CallKey,
    by: RequestId,
}

/// A process of the model.
struct Process<C> {
    id: ProcessId,
    core: C,
    alive: bool,
    paused: bool,
    leaving: bool,
    no_platform: bool,
    inbox: VecDeque<Message>,
    skew_ms: i64,
    timer: Time,
    missed: BTreeMap<usize, u32>,
    map: SlotMap,
}

/// The whole model.
pub struct World {
    pub now: Time,
    rng: Pcg32,
    queue: BTreeMap<(Time, u64), (Node, Incarnation, Box<Message>)>,
    seq: u64,
    agents: Vec<Process<ServiceLedger>>,
    entries: Vec<Process<TakeoverCore>>,
    pub leases: Objects<OwnerId, OwnerLease>,
    pub tables: Objects<(), OwnerTable>,
    cut: BTreeSet<(usize, usize)>,
    outage: bool,
    lossy: bool,
    rough: bool,
    limits: LedgerLimits,
    times: OwnerTimes,
    pub tenant: TenantName,
    pub requests: BTreeMap<RequestId, Request>,
    pub executions: Vec<Execution>,
    pub keys: Vec<(CallKey, &'static [u8])>,
    /// What happened, for golden files.
    pub log: Option<Vec<String>>,
}

impl World {
    /// A world in which an orphaned lease is revoked soon.
    pub fn new(seed: u64, limits: LedgerLimits) -> Self {
        let times = OwnerTimes { orphan: Duration::from_secs(40), ..OwnerTimes::default() };
        Self::with_times(seed, limits, times)
    }

    pub fn with_times(seed: u64, limits: LedgerLimits, times: OwnerTimes) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: Pcg32::seed_from_u64(seed),
            queue: BTreeMap::new(),
            seq: 0,
            agents: Vec::new(),
            entries: Vec::new(),
            leases: Objects::default(),
            tables: Objects::default(),
            cut: BTreeSet::new(),
            outage: false,
            lossy: false,
            rough: false,
            limits,
            times,
            tenant: TenantName::try_from("egyezteto").expect("a name"),
            requests: BTreeMap::new(),
            executions: Vec::new(),
            keys: Vec::new(),
            log: None,
        };
        for at in 0..AGENTS {
            let id = process("agent", at, 1);
            let core = ServiceLedger::new(id.clone(), limits, times);
            let skew = world.skew();
            world.agents.push(Process::new(id, core, skew));
            world.start(Node::Agent(at));
        }
        for at in 0..ENTRIES {
            let id = process("entry", at, 1);
            let core = TakeoverCore::new(id.clone(), times, SLOTS);
            let skew = world.skew();
            world.entries.push(Process::new(id, core, skew));
            world.start(Node::Entry(at));
        }
        world.tell_entry(0, TakeoverEvent::Assigner(true));
        world.run_for(Duration::from_secs(16));
        world
    }

    fn skew(&mut self) -> i64 {
        self.rng.random_range(-2_400..2_400)
    }

    fn start(&mut self, node: Node) {
        let incarnation = self.incarnation(node);
        let at = self.now + Duration::from_millis(self.rng.random_range(0..1_000));
        self.post(at, node, incarnation, Message::Shell);
        if let Node::Agent(_) = node {
            self.post(at, node, incarnation, Message::Agent(Event::Tick));
        }
    }

    fn incarnation(&self, node: Node) -> Incarnation {
        match node {
            Node::Agent(at) => self.agents[at].id.incarnation,
            Node::Entry(at) => self.entries[at].id.incarnation,
        }
    }

    fn post(&mut self, at: Time, node: Node, incarnation: Incarnation, message: Message) {
        self.seq += 1;
        self.queue.insert((at, self.seq), (node, incarnation, Box::new(message)));
    }

    fn delay(&mut self) -> Duration {
        let most = if self.rough { 3_000 } else { 20 };
        Duration::from_millis(self.rng.random_range(1..most))
    }

    /// Sends a frame over a link, unless it is cut; a rough network duplicates and crosses.
    fn send(&mut self, link: Option<(usize, usize)>, to: Node, message: &Message) {
        if link.is_some_and(|it| self.cut.contains(&it)) {
            return;
        }
        let copies = if self.rough && self.rng.random_ratio(1, 4) { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.delay();
            let incarnation = self.incarnation(to);
            self.post(at, to, incarnation, message.clone());
        }
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(at, _), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            let Some((_, (node, incarnation, message))) = self.queue.pop_first() else { break };
            self.now = at;
            self.deliver(node, incarnation, *message);
        }
        self.now = end;
    }

    fn deliver(&mut self, node: Node, incarnation: Incarnation, message: Message) {
        match message {
            // These concern the platform and the service, which have it by now.
            Message::Execute(it) => return self.execute(node, incarnation, it),
            Message::Put { seq, expect, put } => {
                let writer = self.id(node, incarnation);
                self.apply(&writer, seq, expect, put);
                return;
            }
            _ => {}
        }
        if incarnation != self.incarnation(node) {
            return;
        }
        match (node, message) {
            (_, Message::Restart) => self.restart(node),
            (_, Message::Resume) => self.resume(node),
            (Node::Agent(at), message) => self.deliver_agent(at, message),
            (Node::Entry(at), message) => self.deliver_entry(at, message),
        }
    }

    fn id(&self, node: Node, incarnation: Incarnation) -> ProcessId {
        let process = match node {
            Node::Agent(at) => self.agents[at].id.process.clone(),
            Node::Entry(at) => self.entries[at].id.process.clone(),
        };
        ProcessId::new(process, incarnation)
    }

    fn wall(&self, skew_ms: i64) -> WallTime {
        let millis = EPOCH_MS + self.now.as_micros() / 1_000;
        WallTime::from_millis(millis.saturating_add_signed(skew_ms))
    }

    // Agents.

    fn deliver_agent(&mut self, at: usize, message: Message) {
        let agent = &mut self.agents[at];
        if !agent.alive {
            return;
        }
        if agent.paused {
            agent.inbox.push_back(message);
            return;
        }
        match message {
            Message::Agent(Event::Tick) if agent.timer > self.now => {}
            Message::Agent(event) => self.tell_agent(at, event),
            Message::Start(id) => self.begin(at, id),
            Message::Dequeue(key, waiter) => self.dequeue(at, key, waiter),
            Message::Shell => self.agent_shell(at),
            _ => {}
        }
    }

    fn agent_shell(&mut self, at: usize) {
        let near = (0..ENTRIES).filter(|entry| !self.cut.contains(&(*entry, at)));
        let live = near.map(|it| &self.entries[it]).filter(|it| it.alive && !it.paused);
        let standbys = live.map(|it| it.id.clone()).collect();
        self.tell_agent(at, Event::Owner(OwnerEvent::Standbys(standbys)));
        let next = self.now + SHELL_PERIOD;
        self.post(next, Node::Agent(at), self.agents[at].id.incarnation, Message::Shell);
    }

    fn begin(&mut self, at: usize, id: RequestId) {
        let request = &self.requests[&id];
        let digest = CallDigest::of("POST", "/confirm", request.body);
        let (key, wall) = (request.key.clone(), self.wall(self.agents[at].skew_ms));
        self.tell_agent(at, Event::Call { waiter: id, key, digest, wall });
    }

    /// The queue of the agent: most calls go out, some are given up before they do.
    fn dequeue(&mut self, at: usize, key: CallKey, waiter: RequestId) {
        if self.rough && self.rng.random_ratio(1, 8) {
            let refusal = Refusal::not_run(RefusalReason::Deadline);
            return self.tell_agent(at, Event::Ledger(LedgerEvent::NotSent { key, refusal }));
        }
        let later = self.now + self.delay();
        let incarnation = self.agents[at].id.incarnation;
        let message = Message::Execute(Run { key, by: waiter });
        self.post(later, Node::Agent(at), incarnation, message);
    }

    fn execute(&mut self, node: Node, incarnation: Incarnation, it: Run) {
        let body = Bytes::from(format!("done-{}", self.executions.len()));
        self.note(|| format!("service runs {} for {}", it.key.as_str(), it.by));
        self.executions.push(Execution { key: it.key.clone(), by: it.by, at: self.now });
        let key = it.key;
        let event = if self.rough && self.rng.random_ratio(1, 8) {
            LedgerEvent::Lost { key, refusal: Refusal::unknown(RefusalReason::BadAnswer) }
        } else {
            let answer = Answer { status: 200, content_type: None, body };
            LedgerEvent::Answered { key, answer }
        };
        let at = self.now + self.delay();
        self.post(at, node, incarnation, Message::Agent(Event::Ledger(event)));
    }

    fn tell_agent(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.agents[at].core.handle(self.now, event, &mut out);
        for action in out {
            self.agent_action(at, action);
        }
    }

    fn agent_action(&mut self, at: usize, action: Action) {
        let node = Node::Agent(at);
        let incarnation = self.agents[at].id.incarnation;
        match action {
            Action::SetTimer(time) => {
                self.agents[at].timer = time;
                self.post(time, node, incarnation, Message::Agent(Event::Tick));
            }
            Action::Ledger(action) => self.ledger_action(at, action),
            Action::HandOver(part) => {
                let to = self.agent_of(&part.to);
                self.send(None, Node::Agent(to), &Message::Agent(Event::HandOver(part)));
            }
            Action::Taken(answer) => {
                let to = self.agent_of(&answer.from);
                self.send(None, Node::Agent(to), &Message::Agent(Event::Taken(answer)));
            }
            Action::Owner(OwnerAction::PutLease { seq, expect, lease }) => {
                self.put(node, seq, expect, Put::Lease(lease.owner.clone(), lease));
            }
            Action::Owner(OwnerAction::PutTable { seq, expect, table }) => {
                self.put(node, seq, expect, Put::Table(table));
            }
            Action::Owner(OwnerAction::GetLease(owner)) => {
                let read = self.read(node, |it| it.leases.get(&owner));
                self.answer(node, Message::Agent(Event::Owner(OwnerEvent::Lease(read))));
            }
            Action::Owner(OwnerAction::GetTable) => {
                let read = self.read(node, |it| it.tables.get(&()));
                self.answer(node, Message::Agent(Event::Owner(OwnerEvent::Table(read))));
            }
            Action::Owner(OwnerAction::AskGrant { standby, owner, nonce }) => {
                let Some(to) = self.entries.iter().position(|it| it.id == standby) else { return };
                let message = Message::Entry(TakeoverEvent::AskGrant { owner, nonce });
                self.send(Some((to, at)), Node::Entry(to), &message);
            }
            Action::Owner(OwnerAction::Release { .. } | OwnerAction::SetTimer(_)) => {}
        }
    }

    fn ledger_action(&mut self, at: usize, action: LedgerAction) {
        match action {
            LedgerAction::Run { key, waiter } => {
                let later = self.now + self.delay();
                let incarnation = self.agents[at].id.incarnation;
                self.post(later, Node::Agent(at), incarnation, Message::Dequeue(key, waiter));
            }
            LedgerAction::Reply { waiter, answer, replayed } => {
                let body = answer.body.clone();
                self.tell_caller(at, waiter, Outcome::Answered { body, replayed });
            }
            LedgerAction::Refuse { waiter, refusal } => {
                self.tell_caller(at, waiter, Outcome::Refused(refusal));
            }
            LedgerAction::Wait { .. }
            | LedgerAction::Dequeue { .. }
            | LedgerAction::SetTimer(_) => {}
        }
    }

    fn tell_caller(&mut self, at: usize, waiter: RequestId, outcome: Outcome) {
        let entry = entry_of(waiter);
        self.send(Some((entry, at)), Node::Entry(entry), &Message::Outcome(waiter, outcome));
    }

    fn agent_of(&self, owner: &OwnerId) -> usize {
        let same = |it: &Process<ServiceLedger>| it.id.process == owner.agent.process;
        self.agents.iter().position(same).unwrap_or_default()
    }

    // Entries.

    fn deliver_entry(&mut self, at: usize, message: Message) {
        let entry = &mut self.entries[at];
        if !entry.alive {
            return;
        }
        if entry.paused {
            entry.inbox.push_back(message);
            return;
        }
        match message {
            Message::Entry(TakeoverEvent::Tick) if entry.timer > self.now => {}
            Message::Entry(TakeoverEvent::Table { read, .. }) => self.entry_table(at, read),
            Message::Entry(event) => self.tell_entry(at, event),
            Message::Outcome(id, outcome) => self.end(id, &outcome),
            Message::Shell => self.entry_shell(at),
            _ => {}
        }
    }

    fn entry_table(&mut self, at: usize, read: ReadResult<OwnerTable>) {
        if let ReadResult::Found(it) = &read {
            self.entries[at].map.adopt(it.version, it.body.clone());
        }
        let wall = self.wall(self.entries[at].skew_ms);
        self.tell_entry(at, TakeoverEvent::Table { wall, read });
    }

    /// Hears from the agents, suspects the silent ones and reads the table.
    fn entry_shell(&mut self, at: usize) {
        let mut members = Vec::new();
        let mut suspects = Vec::new();
        for agent in 0..AGENTS {
            let it = &self.agents[agent];
            let heard = it.alive && !it.paused && !self.cut.contains(&(at, agent));
            let missed = self.entries[at].missed.entry(agent).or_default();
            *missed = if heard { 0 } else { *missed + 1 };
            let id = it.core.owner().id();
            let leased = it.core.owner().valid_until() > Some(self.now);
            if heard && leased && !it.leaving {
                members.push(id.clone());
            }
            let silent = *missed >= 2;
            let named = self.entries[at].map.owners();
            let same = |owner: &OwnerId| owner.agent.process == it.id.process;
            suspects.extend(named.filter(|it| same(it) && (silent || heard && *it != id)).cloned());
        }
        self.tell_entry(at, TakeoverEvent::Members(members));
        for owner in suspects {
            self.tell_entry(at, TakeoverEvent::Suspect(owner));
        }
        self.tell_entry(at, TakeoverEvent::Tick);
        self.entry_action(at, TakeoverAction::GetTable);
        let sweeps = (self.now.as_micros() / 5_000_000).is_multiple_of(4);
        if at == 0 && sweeps && !self.unreachable(Node::Entry(0)) {
            self.tell_entry(0, TakeoverEvent::Swept(self.leases.all()));
        }
        let next = self.now + SHELL_PERIOD;
        self.post(next, Node::Entry(at), self.entries[at].id.incarnation, Message::Shell);
    }

    fn tell_entry(&mut self, at: usize, event: TakeoverEvent) {
        let mut out = Vec::new();
        self.entries[at].core.handle(self.now, event, &mut out);
        for action in out {
            self.entry_action(at, action);
        }
    }

    fn entry_action(&mut self, at: usize, action: TakeoverAction) {
        let node = Node::Entry(at);
        match action {
            // The shell ticks by itself.
            TakeoverAction::SetTimer(_) => {}
            TakeoverAction::GetLease(owner) => {
                let read = self.read(node, |it| it.leases.get(&owner));
                self.answer(node, Message::Entry(TakeoverEvent::Lease { owner, read }));
            }
            TakeoverAction::DeleteLease { .. } if self.unreachable(node) => {}
            TakeoverAction::DeleteLease { owner, expect } => {
                self.leases.delete(&owner, Some(expect));
            }
            TakeoverAction::GetTable => {
                let read = self.read(node, |it| it.tables.get(&()));
                let wall = WallTime::default();
                self.answer(node, Message::Entry(TakeoverEvent::Table { wall, read }));
            }
            TakeoverAction::PutLease { seq, expect, lease } => {
                self.put(node, seq, expect, Put::Lease(lease.owner.clone(), lease));
            }
            TakeoverAction::PutTable { seq, expect, table } => {
                self.put(node, seq, expect, Put::Table(table));
            }
            TakeoverAction::Grant { owner, nonce, span } => {
                let to = self.agent_of(&owner);
                let by = self.entries[at].id.clone();
                let event = Event::Owner(OwnerEvent::Grant { by, nonce, span });
                self.send(Some((at, to)), Node::Agent(to), &Message::Agent(event));
            }
        }
    }

    // Platform.

    fn unreachable(&self, node: Node) -> bool {
        let cut = match node {
            Node::Agent(at) => self.agents[at].no_platform,
            Node::Entry(at) => self.entries[at].no_platform,
        };
        self.outage || cut
    }

    fn read<T>(&mut self, node: Node, get: impl Fn(&mut Self) -> ReadResult<T>) -> ReadResult<T> {
        let lost = self.lossy && self.rng.random_ratio(1, 4);
        if lost || self.unreachable(node) { ReadResult::Failed } else { get(self) }
    }

    fn answer(&mut self, node: Node, message: Message) {
        let at = self.now + Duration::from_millis(self.rng.random_range(2..200));
        self.post(at, node, self.incarnation(node), message);
    }

    fn put(&mut self, node: Node, seq: u64, expect: Version, put: Put) {
        let result = if self.unreachable(node) {
            PutResult::Unclear
        } else if self.lossy && self.rng.random_ratio(1, 2) {
            let at = self.now + Duration::from_millis(self.rng.random_range(1..9_000));
            self.post(at, node, self.incarnation(node), Message::Put { seq, expect, put });
            PutResult::Unclear
        } else {
            let writer = self.id(node, self.incarnation(node));
            self.apply(&writer, seq, expect, put)
        };
        let message = match node {
            Node::Agent(_) => Message::Agent(Event::Owner(OwnerEvent::Put { seq, result })),
            Node::Entry(_) => Message::Entry(TakeoverEvent::Put { seq, result }),
        };
        self.answer(node, message);
    }

    fn apply(&mut self, writer: &ProcessId, seq: u64, expect: Version, put: Put) -> PutResult {
        match put {
            Put::Lease(key, lease) => self.leases.put(writer, seq, &key, expect, lease),
            Put::Table(table) => self.tables.put(writer, seq, &(), expect, table),
        }
    }

    // Callers.

    /// Sends a call through an entry and returns its request.
    pub fn call(&mut self, entry: usize, key: &CallKey, body: &'static [u8]) -> RequestId {
        let seq = self.requests.len() as u64;
        let id = RequestId::new(Incarnation::new(entry as u64), seq);
        let request = Request { key: key.clone(), body, outcome: None };
        self.requests.insert(id, request);
        self.note(|| format!("caller sends {} as {id}", key.as_str()));
        let process = &self.entries[entry];
        if !process.alive || process.paused {
            return id;
        }
        let to = match process.map.destination(key) {
            Destination::Any => Some(self.rng.random_range(0..AGENTS)),
            Destination::Owner(owner) => Some(self.agent_of(owner)),
            Destination::Nowhere => None,
        };
        match to {
            Some(to) => self.send(Some((entry, to)), Node::Agent(to), &Message::Start(id)),
            None => {
                let refusal = Refusal::not_run(RefusalReason::NoEndpoint);
                self.end(id, &Outcome::Refused(refusal));
            }
        }
        id
    }

    fn end(&mut self, id: RequestId, outcome: &Outcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.outcome.is_none() {
            request.outcome = Some(outcome.clone());
            self.note(|| format!("{id} ends: {outcome:?}"));
        }
    }

    pub fn new_key(&mut self, entry: usize, kind: KeyKind) -> CallKey {
        let tenant = self.tenant.clone();
        let at = self.requests.len() as u64;
        match kind {
            KeyKind::Dated(skew) => {
                let millis = self.wall(i64::from(skew) * 1_000).as_millis();
                CallKey::from_caller(tenant, &uuid_v7(millis, at)).expect("a key")
            }
            KeyKind::Ageless => CallKey::from_caller(tenant, &format!("k{at}")).expect("a key"),
            KeyKind::Entry => {
                CallKey::from_entry(tenant, RequestId::new(Incarnation::new(entry as u64), at))
            }
        }
    }

    // Steps.

    pub fn step(&mut self, step: Step) {
        let agent = |it: u8| usize::from(it) % AGENTS;
        let entry = |it: u8| usize::from(it) % ENTRIES;
        if !matches!(step, Step::Call { .. } | Step::Repeat { .. } | Step::Wait(_)) {
            self.note(|| format!("{step:?}"));
        }
        match step {
            Step::Call { entry: at, kind } => {
                let key = self.new_key(entry(at), kind);
                self.keys.push((key.clone(), b"a"));
                self.call(entry(at), &key, b"a");
            }
            Step::Repeat { entry: at, back, other_body } => {
                let repeatable = |it: &&(CallKey, _)| it.0.origin() == KeyOrigin::Caller;
                let nth = self.keys.iter().rev().filter(repeatable).nth(usize::from(back));
                if let Some((key, body)) = nth.cloned() {
                    self.call(entry(at), &key, if other_body { b"b" } else { body });
                }
            }
            Step::Wait(quarters) => {
                self.run_for(Duration::from_millis(250) * u32::from(quarters));
            }
            Step::KillAgent(at) => self.kill(Node::Agent(agent(at))),
            Step::KillEntry(at) => self.kill(Node::Entry(entry(at))),
            Step::PauseAgent(at, secs) => self.pause(Node::Agent(agent(at)), secs),
            Step::PauseEntry(at, secs) => self.pause(Node::Entry(entry(at)), secs),
            Step::Outage(on) => self.outage = on,
            Step::CutPlatform(at, on) => self.agents[agent(at)].no_platform = on,
            Step::CutEntry(at, on) => self.entries[entry(at)].no_platform = on,
            Step::CutLink(at, to, true) => {
                self.cut.insert((entry(at), agent(to)));
            }
            Step::CutLink(at, to, false) => {
                self.cut.remove(&(entry(at), agent(to)));
            }
            Step::LossyPlatform(on) => self.lossy = on,
            Step::RoughNetwork(on) => self.rough = on,
            Step::Leave(at) => self.leave(agent(at)),
            Step::SecondAssigner(on) => self.tell_entry(1, TakeoverEvent::Assigner(on)),
        }
        self.run_for(Duration::from_millis(5));
    }

    fn leave(&mut self, at: usize) {
        let others = (0..AGENTS).filter(|it| *it != at);
        let to = others.map(|it| self.agents[it].core.owner().id().clone()).collect();
        if self.agents[at].alive && !self.agents[at].paused {
            self.agents[at].leaving = true;
            self.tell_agent(at, Event::Owner(OwnerEvent::Leave { to }));
            let stop = self.now + Duration::from_secs(20);
            self.post(stop, Node::Agent(at), self.agents[at].id.incarnation, Message::Restart);
        }
    }

    fn kill(&mut self, node: Node) {
        match node {
            Node::Agent(at) => self.agents[at].alive = false,
            Node::Entry(at) => self.entries[at].alive = false,
        }
        let at = self.now + Duration::from_millis(self.rng.random_range(500..20_000));
        self.post(at, node, self.incarnation(node), Message::Restart);
    }

    fn restart(&mut self, node: Node) {
        match node {
            Node::Agent(at) => {
                let id = next_incarnation(&self.agents[at].id);
                let core = ServiceLedger::new(id.clone(), self.limits, self.times);
                let old = &self.agents[at];
                let (skew, cut) = (old.skew_ms, old.no_platform);
                self.agents[at] = Process::new(id, core, skew);
                self.agents[at].no_platform = cut;
            }
            Node::Entry(at) => {
                let id = next_incarnation(&self.entries[at].id);
                let core = TakeoverCore::new(id.clone(), self.times, SLOTS);
                let skew = self.entries[at].skew_ms;
                self.entries[at] = Process::new(id, core, skew);
                if at == 0 {
                    self.tell_entry(0, TakeoverEvent::Assigner(true));
                }
            }
        }
        self.start(node);
    }

    fn pause(&mut self, node: Node, secs: u8) {
        match node {
            Node::Agent(at) => self.agents[at].paused = true,
            Node::Entry(at) => self.entries[at].paused = true,
        }
        let at = self.now + Duration::from_secs(u64::from(secs));
        self.post(at, node, self.incarnation(node), Message::Resume);
    }

    fn resume(&mut self, node: Node) {
        let inbox = match node {
            Node::Agent(at) => {
                self.agents[at].paused = false;
                std::mem::take(&mut self.agents[at].inbox)
            }
            Node::Entry(at) => {
                self.entries[at].paused = false;
                std::mem::take(&mut self.entries[at].inbox)
            }
        };
        let incarnation = self.incarnation(node);
        for message in inbox {
            self.deliver(node, incarnation, message);
        }
    }

    /// Ends every fault, and runs until everything has settled.
    pub fn heal(&mut self) {
        self.outage = false;
        self.lossy = false;
        self.rough = false;
        self.cut.clear();
        self.agents.iter_mut().for_each(|it| it.no_platform = false);
        self.entries.iter_mut().for_each(|it| it.no_platform = false);
        self.run_for(Duration::from_secs(150));
    }

    /// Lets the ledgers see the time at which nothing is to be remembered any more.
    pub fn pass_retention(&mut self) {
        let later = self.now + 2 * self.limits.retention;
        for it in &mut self.agents {
            it.core.handle(later, Event::Ledger(LedgerEvent::Tick), &mut Vec::new());
        }
    }

    /// How often a slot has changed its owner.
    pub fn changes_of_owner(&self) -> u64 {
        let table = self.tables.peek(&()).map(|it| &it.body);
        table.map_or(0, |it| it.iter().map(|(_, it)| it.epoch.saturating_sub(1)).sum())
    }

    /// How many slots the first owner of this name still has.
    pub fn owned_by(&self, agent: u8) -> usize {
        let id = OwnerId::first(process("agent", usize::from(agent) % AGENTS, 1));
        self.tables.peek(&()).map_or(0, |it| it.body.owned_by(&id).count())
    }

    /// The agents that live.
    pub fn agents(&self) -> impl Iterator<Item = &ServiceLedger> {
        self.agents.iter().filter(|it| it.alive && !it.paused).map(|it| &it.core)
    }

    /// The agent that owns a key by the newest table of an entry.
    pub fn owner_of(&self, key: &CallKey) -> Option<u8> {
        match self.entries[0].map.destination(key) {
            Destination::Owner(owner) => u8::try_from(self.agent_of(owner)).ok(),
            _ => None,
        }
    }

    /// A new key in the slots of the same owner.
    pub fn key_of_same_owner(&mut self, key: &CallKey) -> CallKey {
        loop {
            self.run_for(Duration::from_millis(1));
            let other = self.new_key(0, KeyKind::Dated(0));
            if self.owner_of(&other) == self.owner_of(key) {
                return other;
            }
        }
    }

    pub fn note(&mut self, text: impl Fn() -> String) {
        let now = self.now;
        if let Some(log) = &mut self.log {
            log.push(format!("{now} {}", text()));
        }
    }
}

impl<C> Process<C> {
    fn new(id: ProcessId, core: C, skew_ms: i64) -> Self {
        Self {
            id,
            core,
            alive: true,
            paused: false,
            leaving: false,
            no_platform: false,
            inbox: VecDeque::new(),
            skew_ms,
            timer: Time::ZERO,
            missed: BTreeMap::new(),
            map: SlotMap::default(),
        }
    }
}

fn process(role: &str, at: usize, incarnation: u64) -> ProcessId {
    let name = ProcessName::try_from(format!("{role}-{at}")).expect("a name");
    ProcessId::new(name, Incarnation::new(incarnation))
}

fn next_incarnation(id: &ProcessId) -> ProcessId {
    ProcessId::new(id.process.clone(), Incarnation::new(id.incarnation.get() + 1))
}

fn entry_of(id: RequestId) -> usize {
    usize::try_from(id.origin.get()).unwrap_or_default()
}

fn uuid_v7(millis: u64, number: u64) -> String {
    format!("{:08x}-{:04x}-7000-8000-{number:012x}", millis >> 16, millis & 0xffff)
}
