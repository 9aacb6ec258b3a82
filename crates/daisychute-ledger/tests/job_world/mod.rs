//! Entries and the platform, in one thread and without a clock.

#![allow(unreachable_pub, reason = "shared by the files of one test")]

mod actions;
mod faults;
mod platform;
pub mod schedule;
#[path = "../world/store.rs"]
mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{
    ClassName, Incarnation, ProcessName, Refusal, RequestId, TenantName, Time, Verdict,
};
use daisychute_ledger::{
    JobId, JobKeeper, JobLimits, JobResult, JobRunner, JobSpec, JobState, JobSubmitter,
    KeeperAction, KeeperEvent, ProcessId, PutResult, ReadResult, ResultObject, ResultObjectId,
    RunnerAction, RunnerEvent, Segment, SegmentId, SegmentState, SubmitAction, SubmitEvent,
    Version, WallTime,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use schedule::Step;
use store::Objects;

const ENTRIES: usize = 3;

#[derive(Debug, Clone)]
pub enum Message {
    Submit(SubmitEvent),
    Run(RunnerEvent),
    Keep(KeeperEvent),
    /// Lists the states, as a watch would tell of them.
    List,
    PutState {
        seq: u64,
        segment: SegmentId,
        expect: Version,
        state: SegmentState,
    },
    PutSegment {
        seq: u64,
        id: SegmentId,
        segment: Segment,
    },
    PutResults {
        seq: u64,
        id: ResultObjectId,
        object: ResultObject,
    },
    Delete {
        segment: SegmentId,
        expect: Version,
    },
    Sweep,
    Resume,
}

struct Entry {
    id: ProcessId,
    submitter: JobSubmitter,
    runner: JobRunner,
    keeper: JobKeeper,
    paused: bool,
    inbox: Vec<Message>,
    listed: BTreeSet<SegmentId>,
    timer: Time,
}

pub struct World {
    now: Time,
    rng: Pcg32,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Box<Message>)>,
    seq: u64,
    entries: Vec<Entry>,
    pub segments: Objects<SegmentId, Segment>,
    pub states: Objects<SegmentId, SegmentState>,
    pub results: Objects<ResultObjectId, ResultObject>,
    outage: bool,
    lossy: bool,
    limits: JobLimits,
    pub submitted: u64,
    pub accepted: BTreeMap<JobId, u64>,
    not_run: BTreeSet<u64>,
    runs: BTreeMap<u64, u32>,
    faults: Vec<String>,
}

impl Entry {
    fn new(at: usize, incarnation: u64, limits: JobLimits) -> Self {
        let name = ProcessName::try_from(format!("entry-{at}")).expect("a name");
        let id = ProcessId::new(name, Incarnation::new(incarnation));
        Self {
            submitter: JobSubmitter::new(id.clone(), limits),
            runner: JobRunner::new(id.clone(), limits),
            keeper: JobKeeper::new(limits),
            paused: false,
            inbox: Vec::new(),
            listed: BTreeSet::new(),
            timer: Time::ZERO,
            id,
        }
    }
}

impl World {
    pub fn new(seed: u64, limits: JobLimits) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: Pcg32::seed_from_u64(seed),
            queue: BTreeMap::new(),
            seq: 0,
            entries: (0..ENTRIES).map(|it| Entry::new(it, 1, limits)).collect(),
            segments: Objects::default(),
            states: Objects::default(),
            results: Objects::default(),
            outage: false,
            lossy: false,
            limits,
            submitted: 0,
            accepted: BTreeMap::new(),
            not_run: BTreeSet::new(),
            runs: BTreeMap::new(),
            faults: Vec::new(),
        };
        (0..ENTRIES).for_each(|it| world.start(it));
        world
    }

    fn start(&mut self, at: usize) {
        self.post(at, 0, Message::Run(RunnerEvent::Capacity(8)));
        self.post(at, 0, Message::Run(RunnerEvent::Tick));
        self.post(at, 0, Message::Keep(KeeperEvent::Tick { wall: WallTime::default() }));
        self.post(at, 1, Message::List);
        self.post(at, 10_000, Message::Sweep);
    }

    pub fn post(&mut self, at: usize, millis: u64, message: Message) {
        self.seq += 1;
        let time = self.now + Duration::from_millis(millis);
        let incarnation = self.entries[at].id.incarnation;
        self.queue.insert((time, self.seq), (at, incarnation, Box::new(message)));
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now.as_micros() / 1_000)
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some((&(time, _), _)) = self.queue.first_key_value() {
            if time > end {
                break;
            }
            let Some((_, (at, incarnation, message))) = self.queue.pop_first() else { break };
            self.now = time;
            self.deliver(at, incarnation, *message);
        }
        self.now = end;
    }

    fn deliver(&mut self, at: usize, incarnation: Incarnation, message: Message) {
        let writer = ProcessId::new(self.entries[at].id.process.clone(), incarnation);
        match &message {
            // The platform has these by now, whatever became of the writer.
            Message::PutState { .. } | Message::PutSegment { .. } | Message::PutResults { .. } => {
                self.apply(&writer, message);
                return;
            }
            _ if incarnation != self.entries[at].id.incarnation => return,
            Message::Resume => {
                self.entries[at].paused = false;
                for it in std::mem::take(&mut self.entries[at].inbox) {
                    self.deliver(at, incarnation, it);
                }
                return;
            }
            _ if self.entries[at].paused => {
                self.entries[at].inbox.push(message);
                return;
            }
            _ => {}
        }
        let now = self.now;
        let entry = &mut self.entries[at];
        match message {
            Message::Submit(SubmitEvent::Tick) if entry.timer > now => {}
            Message::Submit(event) => {
                let mut out = Vec::new();
                entry.submitter.handle(now, event, &mut out);
                out.into_iter().for_each(|it| self.submit_action(at, it));
            }
            Message::Run(event) => {
                let mut out = Vec::new();
                entry.runner.handle(now, event, &mut out);
                out.into_iter().for_each(|it| self.runner_action(at, it));
            }
            Message::Keep(KeeperEvent::Tick { .. }) => {
                let wall = self.wall();
                self.keep(at, KeeperEvent::Tick { wall });
            }
            Message::Keep(event) => self.keep(at, event),
            Message::List => self.list(at),
            Message::Sweep => {
                let mut segments: BTreeSet<_> = self.segments.keys().into_iter().collect();
                segments.extend(self.results.keys().into_iter().map(|it| it.segment));
                self.keep(at, KeeperEvent::Swept(segments));
                self.post(at, 30_000, Message::Sweep);
            }
            Message::Delete { segment, expect } => {
                let results = self.results.keys().into_iter();
                let all: Vec<_> = results.filter(|it| it.segment == segment).collect();
                all.iter().for_each(|it| self.results.delete(it, None));
                self.segments.delete(&segment, None);
                self.states.delete(&segment, Some(expect));
                self.get_state(at, &segment);
            }
            _ => {}
        }
    }

    fn keep(&mut self, at: usize, event: KeeperEvent) {
        let mut out = Vec::new();
        self.entries[at].keeper.handle(self.now, event, &mut out);
        out.into_iter().for_each(|it| self.keeper_action(at, it));
    }

    fn list(&mut self, at: usize) {
        if !self.unreachable() {
            let present = self.states.keys().into_iter().collect();
            let before = std::mem::replace(&mut self.entries[at].listed, present);
            let told: BTreeSet<_> = before.union(&self.entries[at].listed).cloned().collect();
            for it in &told {
                // A watch tells of these; it is one call as long as it waits.
                let state = self.states.peek(it).cloned();
                self.tell_state(at, it, &state.map_or(ReadResult::Absent, ReadResult::Found));
            }
        }
        self.post(at, 5_000, Message::List);
    }
}
