//! Agents, entries, platform, service and network of one service, in one thread and without a clock.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

mod agents;
mod callers;
mod entries;
mod faults;
mod platform;
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
        let times = OwnerTimes { orphan: Duration::from_secs(30), ..OwnerTimes::default() };
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
