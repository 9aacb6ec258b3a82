//! Jobs under random schedules of faults: none is lost, and each is answered once.

#[path = "world/store.rs"]
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
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use store::Objects;

const SEED: u64 = 0x5EED_1001;
const CASES: u64 = 1_000;
const ENTRIES: usize = 3;

#[derive(Debug, Clone, Copy)]
enum Step {
    Submit { entry: u8, jobs: u8 },
    Wait(u8),
    Kill(u8),
    KillAll,
    Pause(u8, u8),
    Outage(bool),
    Lossy(bool),
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    steps: Vec<Step>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut any = || u8::arbitrary(g);
        match any() % 16 {
            0..5 => Self::Submit { entry: any(), jobs: 1 + any() % 6 },
            5..9 => Self::Wait(any()),
            9 => Self::Kill(any()),
            10 => Self::KillAll,
            11 => Self::Pause(any(), any() % 100),
            12 => Self::Outage(true),
            13 => Self::Outage(false),
            _ => Self::Lossy(bool::arbitrary(g)),
        }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = 4 + usize::from(u8::arbitrary(g) % 24);
        let steps = (0..len).map(|_| Step::arbitrary(g)).collect();
        Self { seed: u64::arbitrary(g), steps }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        Box::new((0..self.steps.len()).map(move |at| {
            let mut fewer = whole.clone();
            fewer.steps.remove(at);
            fewer
        }))
    }
}

#[derive(Debug, Clone)]
enum Message {
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

struct World {
    now: Time,
    rng: Pcg32,
    queue: BTreeMap<(Time, u64), (usize, Incarnation, Box<Message>)>,
    seq: u64,
    entries: Vec<Entry>,
    segments: Objects<SegmentId, Segment>,
    states: Objects<SegmentId, SegmentState>,
    results: Objects<ResultObjectId, ResultObject>,
    outage: bool,
    lossy: bool,
    limits: JobLimits,
    submitted: u64,
    accepted: BTreeMap<JobId, u64>,
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
    fn new(seed: u64, limits: JobLimits) -> Self {
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

    fn post(&mut self, at: usize, millis: u64, message: Message) {
        self.seq += 1;
        let time = self.now + Duration::from_millis(millis);
        let incarnation = self.entries[at].id.incarnation;
        self.queue.insert((time, self.seq), (at, incarnation, Box::new(message)));
    }

    fn wall(&self) -> WallTime {
        WallTime::from_millis(self.now.as_micros() / 1_000)
    }

    fn run_for(&mut self, span: Duration) {
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

    fn unreachable(&mut self) -> bool {
        self.outage || self.lossy && self.rng.random_ratio(1, 4)
    }

    fn get_state(&mut self, at: usize, segment: &SegmentId) {
        let read = if self.unreachable() { ReadResult::Failed } else { self.states.get(segment) };
        self.tell_state(at, segment, &read);
    }

    fn tell_state(&mut self, at: usize, segment: &SegmentId, read: &ReadResult<SegmentState>) {
        let (segment, read) = (segment.clone(), read.clone());
        let delay = self.rng.random_range(1..200);
        let event = RunnerEvent::State { segment: segment.clone(), read: read.clone() };
        self.post(at, delay, Message::Run(event));
        self.post(at, delay, Message::Keep(KeeperEvent::State { segment, read }));
    }

    fn put(&mut self, at: usize, message: Message, answer: impl Fn(PutResult) -> Message) {
        let result = if self.outage {
            PutResult::Unclear
        } else if self.lossy && self.rng.random_ratio(1, 2) {
            let delay = self.rng.random_range(1..70_000);
            self.post(at, delay, message);
            PutResult::Unclear
        } else {
            let writer = self.entries[at].id.clone();
            self.apply(&writer, message)
        };
        let delay = self.rng.random_range(1..200);
        self.post(at, delay, answer(result));
    }

    fn apply(&mut self, writer: &ProcessId, message: Message) -> PutResult {
        match message {
            Message::PutState { seq, segment, expect, state } => {
                let before = self.states.peek(&segment).map(|it| it.body.clone());
                let result = self.states.put(writer, seq, &segment, expect, state);
                if let (PutResult::Done(_), Some(before)) = (result, before) {
                    self.check_change(&segment, &before);
                }
                result
            }
            Message::PutSegment { seq, id, segment } => {
                self.segments.put(writer, seq, &id, Version::ABSENT, segment)
            }
            Message::PutResults { seq, id, object } => {
                self.results.put(writer, seq, &id, Version::ABSENT, object)
            }
            _ => PutResult::Conflict,
        }
    }

    /// A job goes forwards only, and to a result that is there.
    fn check_change(&mut self, segment: &SegmentId, before: &SegmentState) {
        let Some(after) = self.states.peek(segment).map(|it| it.body.clone()) else { return };
        for (index, (old, new)) in (0..).zip(before.jobs.iter().zip(&after.jobs)) {
            let job = JobId { segment: segment.clone(), index };
            match (old, new) {
                (JobState::Pending, JobState::Done(id)) => {
                    let object = self.results.peek(id).map(|it| &it.body);
                    if !object.is_some_and(|it| it.results.contains_key(&index)) {
                        self.faults.push(format!("the result of {job} is not in {id}"));
                    }
                }
                (JobState::Pending, JobState::Fetched) if self.accepted.contains_key(&job) => {
                    self.faults.push(format!("{job} was dropped"));
                }
                (JobState::Pending, _) | (JobState::Done(_), JobState::Fetched) => {}
                (old, new) if old == new => {}
                _ => self.faults.push(format!("{job} went from {old:?} to {new:?}")),
            }
        }
    }

    fn submit_action(&mut self, at: usize, action: SubmitAction) {
        let answer = |seq| move |result| Message::Submit(SubmitEvent::Put { seq, result });
        match action {
            SubmitAction::PutSegment { seq, id, segment } => {
                self.put(at, Message::PutSegment { seq, id, segment }, answer(seq));
            }
            SubmitAction::PutState { seq, id: segment, state } => {
                let expect = Version::ABSENT;
                self.put(at, Message::PutState { seq, segment, expect, state }, answer(seq));
            }
            SubmitAction::Accepted { waiter, job } => {
                self.accepted.insert(job, waiter.seq);
            }
            SubmitAction::Refuse { waiter, refusal: Refusal { verdict: Verdict::NotRun, .. } } => {
                self.not_run.insert(waiter.seq);
            }
            SubmitAction::Refuse { .. } => {}
            SubmitAction::SetTimer(time) => {
                let known = self.entries[at].timer;
                if known <= self.now || time < known {
                    self.entries[at].timer = time;
                    let delay = u64::try_from(time.since(self.now).as_millis()).unwrap_or_default();
                    self.post(at, delay + 1, Message::Submit(SubmitEvent::Tick));
                }
            }
        }
    }

    fn runner_action(&mut self, at: usize, action: RunnerAction) {
        let answer = |seq| move |result| Message::Run(RunnerEvent::Put { seq, result });
        match action {
            RunnerAction::GetState(segment) => self.get_state(at, &segment),
            RunnerAction::GetSegment(segment) => {
                let lost = self.unreachable();
                let read = if lost { ReadResult::Failed } else { self.segments.get(&segment) };
                self.post(at, 20, Message::Run(RunnerEvent::Segment { segment, read }));
            }
            RunnerAction::PutState { seq, segment, expect, state } => {
                self.put(at, Message::PutState { seq, segment, expect, state }, answer(seq));
            }
            RunnerAction::PutResults { seq, id, object } => {
                self.put(at, Message::PutResults { seq, id, object }, answer(seq));
            }
            RunnerAction::Run { job, spec } => {
                let number: u64 = spec.work.parse().unwrap_or(u64::MAX);
                *self.runs.entry(number).or_default() += 1;
                let delay = self.rng.random_range(100..20_000);
                let body = Arc::from(format!("{number} by {}", self.entries[at].id));
                let event = if self.rng.random_ratio(1, 16) {
                    RunnerEvent::Again { job }
                } else {
                    RunnerEvent::Answered { job, result: JobResult { status: 200, body } }
                };
                self.post(at, delay, Message::Run(event));
            }
            RunnerAction::Cancel { .. } => {}
            RunnerAction::SetTimer(_) => {
                self.post(at, 1_000, Message::Run(RunnerEvent::Tick));
            }
        }
    }

    fn keeper_action(&mut self, at: usize, action: KeeperAction) {
        match action {
            KeeperAction::GetState(segment) => self.get_state(at, &segment),
            KeeperAction::PutState { seq, segment, expect, state } => {
                let answer = |result| Message::Keep(KeeperEvent::Put { seq, result });
                self.put(at, Message::PutState { seq, segment, expect, state }, answer);
            }
            KeeperAction::Delete { .. } if self.unreachable() => {}
            KeeperAction::Delete { segment, expect } => {
                self.post(at, 10, Message::Delete { segment, expect });
            }
            KeeperAction::SetTimer(_) => {
                let tick = KeeperEvent::Tick { wall: WallTime::default() };
                self.post(at, 2_000, Message::Keep(tick));
            }
        }
    }

    fn submit(&mut self, at: usize) {
        let job = JobSpec {
            tenant: TenantName::try_from("rabat-sale").expect("a name"),
            class: ClassName::try_from("digest").expect("a name"),
            work: Arc::from(self.submitted.to_string()),
        };
        let waiter = RequestId::new(self.entries[at].id.incarnation, self.submitted);
        let wall = self.wall();
        self.submitted += 1;
        self.post(at, 0, Message::Submit(SubmitEvent::Submit { waiter, job, wall }));
    }

    fn step(&mut self, step: Step) {
        let entry = |it: u8| usize::from(it) % ENTRIES;
        match step {
            Step::Submit { entry: at, jobs } => (0..jobs).for_each(|_| self.submit(entry(at))),
            Step::Wait(quarters) => {
                self.run_for(Duration::from_millis(250) * u32::from(quarters));
            }
            Step::Kill(at) => self.kill(entry(at)),
            Step::KillAll => (0..ENTRIES).for_each(|it| self.kill(it)),
            Step::Pause(at, secs) => {
                self.entries[entry(at)].paused = true;
                self.post(entry(at), u64::from(secs) * 1_000, Message::Resume);
            }
            Step::Outage(on) => self.outage = on,
            Step::Lossy(on) => self.lossy = on,
        }
        self.run_for(Duration::from_millis(5));
    }

    fn kill(&mut self, at: usize) {
        let next = self.entries[at].id.incarnation.get() + 1;
        self.entries[at] = Entry::new(at, next, self.limits);
        self.start(at);
    }

    /// The published result of a job.
    fn result(&self, job: &JobId) -> Option<&JobResult> {
        let state = &self.states.peek(&job.segment)?.body;
        match state.jobs.get(job.index as usize)? {
            JobState::Done(id) => self.results.peek(id)?.body.results.get(&job.index),
            _ => None,
        }
    }

    fn check_end(&mut self) -> Result<(), String> {
        self.outage = false;
        self.lossy = false;
        self.run_for(Duration::from_secs(250));
        for (job, number) in &self.accepted {
            let Some(result) = self.result(job) else { return Err(format!("{job} has no result")) };
            if !result.body.starts_with(&format!("{number} by ")) {
                return Err(format!("{job} got {:?} for {number}", result.body));
            }
        }
        if let Some(it) = self.not_run.iter().find(|it| self.runs.contains_key(it)) {
            return Err(format!("submit {it} was refused as not_run and ran"));
        }
        self.fetch_all();
        self.run_for(Duration::from_secs(90));
        let left = self.states.len() + self.segments.len() + self.results.len();
        let cores =
            |it: &Entry| it.submitter.bytes() == 0 && it.runner.is_empty() && it.keeper.is_empty();
        if left != 0 || !self.entries.iter().all(cores) {
            return Err(format!("{left} objects are left, or a core is not empty"));
        }
        self.faults.first().map_or(Ok(()), |it| Err(it.clone()))
    }

    /// Has every answered job fetched, those included whose submit ended as unknown.
    fn fetch_all(&mut self) {
        for segment in self.states.keys() {
            let jobs = self.states.peek(&segment).map_or(0, |it| it.body.jobs.len());
            for index in 0..u32::try_from(jobs).unwrap_or_default() {
                let job = JobId { segment: segment.clone(), index };
                self.post(0, 0, Message::Keep(KeeperEvent::Fetched(job)));
            }
        }
    }
}

macro_rules! schedules {
    ($($name:ident: $base:expr, $number:literal;)*) => {$(
        #[test]
        fn $name() {
            #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes by value")]
            fn property(schedule: Schedule) -> Result<bool, String> {
                let base: &[Step] = $base;
                let mut world = World::new(schedule.seed, JobLimits { object_bytes: 400, ..JobLimits::default() });
                base.iter().chain(&schedule.steps).for_each(|it| world.step(*it));
                world.check_end().map(|()| true)
            }
            println!("seed {}", SEED + $number);
            let rng = Gen::from_size_and_seed(100, SEED + $number);
            let property: fn(Schedule) -> Result<bool, String> = property;
            QuickCheck::new().rng(rng).tests(CASES).quickcheck(property);
        }
    )*};
}

schedules! {
    none_is_lost_from_a_quiet_start: &[], 0;
    none_is_lost_on_a_lossy_platform: &[Step::Lossy(true)], 1;
    none_is_lost_under_load: &[Step::Submit { entry: 0, jobs: 30 }, Step::Submit { entry: 1, jobs: 30 }], 2;
}

/// Store calls of jobs that one process groups, at the rate that a data centre has at full size.
#[test]
fn store_calls_per_thousand_jobs() {
    const JOBS: u64 = 1_000;
    const PER_SECOND: u64 = 70;
    let mut world = World::new(SEED, JobLimits::default());
    world.post(0, 0, Message::Run(RunnerEvent::Capacity(2_000)));
    for it in 0..JOBS {
        world.submit(0);
        world.run_for(Duration::from_micros(1_000_000 / PER_SECOND));
        assert_eq!(world.submitted, it + 1);
    }
    world.run_for(Duration::from_secs(120));
    assert_eq!(world.accepted.len(), 1_000);
    assert!(world.accepted.keys().all(|it| world.result(it).is_some()));
    world.fetch_all();
    world.run_for(Duration::from_secs(20));
    let calls = [world.segments.calls, world.states.calls, world.results.calls];
    println!("store calls per 1,000 jobs at {PER_SECOND}/s: segments, states, results {calls:?}");
    assert_eq!(world.states.len(), 0);
    assert!(calls.iter().sum::<u64>() < JOBS);
}
