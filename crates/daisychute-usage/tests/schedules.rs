//! Random schedules of three fronts, a store and an API: holders change and are killed, writes and calls get lost or are
//! executed late, shares get lost, and the store goes back to an older copy. No window may be sent with two different
//! sets of counts.
//!
//! `DAISYCHUTE_SEED=n` runs the schedules from seed `n` on, `QUICKCHECK_TESTS=n` so many of them.

use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::hash::{BuildHasher as _, Hasher as _, RandomState};
use std::time::Duration;

use daisychute_core::{TenantName, Term, Time};
use daisychute_usage::{
    CallOutcome, ReportState, ReporterAction, ReporterEvent, StateUnavailable, StateVersion,
    StateWrite, UnixTime, UsageCounter, UsageReport, UsageReporter, UsageSettings, WindowId,
};
use quickcheck::{Arbitrary as _, Gen};

const FRONTS: usize = 3;
const STEP: Duration = Duration::from_millis(100);
/// Longer than a window of the test, so that calls and writes are executed after later ones.
const LATEST_EXECUTION: u64 = 25;
const LEASE: Duration = Duration::from_millis(2_500);
const SCHEDULES: u64 = 400;
const SCHEDULE_STEPS: usize = 300;
/// Bytes below this one are faults.
const FAULT_BYTES: u8 = 26;
/// More choices than a schedule uses.
const CHOICES: usize = 6_000;
const SEED: &str = "DAISYCHUTE_SEED";
const GEN_SIZE: usize = 100;

/// Shorter windows than in operation, so that a schedule has many.
fn settings() -> UsageSettings {
    UsageSettings {
        window: Duration::from_secs(1),
        complete_after: Duration::from_millis(300),
        freeze_after: Duration::from_millis(1_200),
        settle: Duration::from_millis(600),
        call_timeout: Duration::from_millis(500),
        ..UsageSettings::default()
    }
}

type Stored = Option<(ReportState, StateVersion)>;

struct Front {
    counter: UsageCounter,
    reporter: UsageReporter,
    source: u64,
}

/// A step's disturbance, from a byte of the schedule.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    LeaseLost,
    HolderKilled,
    FrontKilled,
    StoreWentBack,
}

impl From<u8> for Fault {
    fn from(byte: u8) -> Self {
        match byte {
            0..8 => Self::LeaseLost,
            8..14 => Self::HolderKilled,
            14..18 => Self::FrontKilled,
            18..FAULT_BYTES => Self::StoreWentBack,
            _ => Self::None,
        }
    }
}

struct World {
    fronts: Vec<Front>,
    steps: u64,
    next_source: u64,
    /// Random choices of the schedule, used cyclically.
    choices: Vec<u8>,
    next_choice: usize,
    /// No write, call or share gets lost.
    calm: bool,
    stored: Stored,
    history: Vec<Stored>,
    versions: u64,
    late_writes: Vec<(u64, ReportState, Option<StateVersion>)>,
    holder: Option<(usize, Term, Time)>,
    term: u64,
    free_from: Time,
    /// Reports that were sent, and whether the API accepted them.
    sent: BTreeMap<WindowId, (UsageReport, bool)>,
    accepted_by: BTreeMap<WindowId, UnixTime>,
    recorded: BTreeMap<WindowId, u64>,
    conflicting: bool,
}

impl World {
    fn new(choices: Vec<u8>, calm: bool) -> Self {
        let mut world = Self {
            fronts: Vec::new(),
            steps: 0,
            next_source: 1,
            choices,
            next_choice: 0,
            calm,
            stored: None,
            history: vec![None],
            versions: 0,
            late_writes: Vec::new(),
            holder: None,
            term: 0,
            free_from: Time::ZERO,
            sent: BTreeMap::new(),
            accepted_by: BTreeMap::new(),
            recorded: BTreeMap::new(),
            conflicting: false,
        };
        for _ in 0..FRONTS {
            let front = world.new_front();
            world.fronts.push(front);
        }
        world
    }

    fn now(&self) -> Time {
        Time::ZERO + STEP * u32::try_from(self.steps).expect("a short schedule")
    }

    fn true_time(&self) -> UnixTime {
        UnixTime::from_millis(1_000_000)
            + STEP * u32::try_from(self.steps).expect("a short schedule")
    }

    fn new_front(&mut self) -> Front {
        let source = self.next_source;
        self.next_source += 1;
        Front {
            counter: UsageCounter::new(settings(), source, self.now()),
            reporter: UsageReporter::new(settings()),
            source,
        }
    }

    /// A choice from 0 to 99; 99 if nothing may get lost.
    fn choose(&mut self) -> u8 {
        if self.calm || self.choices.is_empty() {
            return 99;
        }
        let choice = self.choices[self.next_choice % self.choices.len()];
        self.next_choice += 1;
        choice % 100
    }

    fn step(&mut self, fault: Fault) {
        self.steps += 1;
        self.execute_late_writes();
        match (fault, self.holder) {
            (Fault::LeaseLost, Some((front, ..))) => {
                // Half of the holders learn of it, the others act until their lease runs out.
                if self.choose() < 50 {
                    self.holder = None;
                    self.free_from = self.now() + settings().call_timeout;
                    self.handle(front, ReporterEvent::Lost);
                } else {
                    self.release_at_expiry();
                }
            }
            (Fault::HolderKilled, Some((front, ..))) => self.kill(front),
            (Fault::FrontKilled, _) => {
                let front = usize::from(self.choose()) % FRONTS;
                self.kill(front);
            }
            (Fault::StoreWentBack, _) => {
                let back = 1 + usize::from(self.choose()) % 4;
                self.stored = self.history[self.history.len().saturating_sub(back)].clone();
            }
            _ => {}
        }
        self.count();
        self.exchange();
        self.renew();
        for front in 0..FRONTS {
            self.handle(front, ReporterEvent::Tick);
        }
    }

    fn release_at_expiry(&mut self) {
        if let Some((_, _, until)) = self.holder.take() {
            self.free_from = until + STEP;
        }
    }

    fn kill(&mut self, front: usize) {
        if self.holder.is_some_and(|it| it.0 == front) {
            self.release_at_expiry();
        }
        self.fronts[front] = self.new_front();
    }

    fn execute_late_writes(&mut self) {
        let steps = self.steps;
        let due: Vec<_> = self.late_writes.extract_if(.., |it| it.0 <= steps).collect();
        for (_, state, replaces) in due {
            self.store(state, replaces.as_ref());
        }
    }

    fn store(
        &mut self,
        state: ReportState,
        replaces: Option<&StateVersion>,
    ) -> Option<StateVersion> {
        if self.stored.as_ref().map(|it| &it.1) != replaces {
            return None;
        }
        self.versions += 1;
        let version = StateVersion::from(self.versions.to_string().as_str());
        self.stored = Some((state, version.clone()));
        self.history.push(self.stored.clone());
        Some(version)
    }

    fn count(&mut self) {
        let (now, true_time) = (self.now(), self.true_time());
        for front in &mut self.fronts {
            let name = if front.source.is_multiple_of(2) { "acme" } else { "globex" };
            let tenant = TenantName::try_from(name).expect("a valid name");
            if front.counter.record(now, true_time, &tenant, now) {
                let window = WindowId::containing(true_time, settings().window);
                *self.recorded.entry(window).or_default() += 1;
            }
        }
    }

    /// Heartbeats and shares. Heartbeats arrive within the lead of an announcement.
    fn exchange(&mut self) {
        if !self.steps.is_multiple_of(2) {
            return;
        }
        let sources: Vec<u64> = self.fronts.iter().map(|it| it.source).collect();
        let announced: Vec<_> =
            self.fronts.iter().filter_map(|it| it.reporter.announcement()).collect();
        for front in 0..FRONTS {
            for &(stamp, window) in &announced {
                self.handle(front, ReporterEvent::ReportedByPeer { stamp, window });
            }
            self.handle(front, ReporterEvent::SourcesSeen(sources.clone()));
        }
        let (now, true_time) = (self.now(), self.true_time());
        for front in 0..FRONTS {
            if let Some(window) = self.fronts[front].reporter.highest_frozen() {
                self.fronts[front].counter.forget_through(window);
            }
            for share in self.fronts[front].counter.shares(now, true_time, 1_400) {
                for receiver in 0..FRONTS {
                    if self.choose() >= 30 {
                        self.handle(receiver, ReporterEvent::ShareReceived(share.clone()));
                    }
                }
            }
        }
    }

    fn renew(&mut self) {
        let now = self.now();
        if self.holder.is_none() && now >= self.free_from {
            self.term += 1;
            let front = usize::from(self.choose()) % FRONTS;
            self.holder = Some((front, Term::new(self.term), now));
        }
        if let Some((front, term, until)) = &mut self.holder {
            *until = now + LEASE;
            let event = ReporterEvent::Held { term: *term, until: *until };
            let front = *front;
            self.handle(front, event);
        }
    }

    fn handle(&mut self, front: usize, event: ReporterEvent) {
        let (now, true_time) = (self.now(), self.true_time());
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.fronts[front].reporter.handle(now, true_time, event, &mut actions);
            for action in actions {
                events.extend(self.perform(front, action));
            }
        }
    }

    fn perform(&mut self, front: usize, action: ReporterAction) -> Option<ReporterEvent> {
        match action {
            ReporterAction::ReadState => Some(ReporterEvent::StateRead(match self.choose() {
                0..15 => Err(StateUnavailable),
                _ => Ok(self.stored.clone()),
            })),
            ReporterAction::WriteState { state, replaces } => {
                Some(ReporterEvent::StateWritten(self.write(state, replaces)))
            }
            ReporterAction::SendReport { term, report } => {
                let holds = |it: (usize, Term, Time)| it.0 == front && it.1 == term;
                // One that doesn't know that it lost the lease acts until the lease runs out.
                self.conflicting |= !(self.holder.is_some_and(holds)
                    || self.holder.is_none() && self.now() < self.free_from);
                let window = report.window;
                let outcome = match self.choose() {
                    0..20 => CallOutcome::Unknown,
                    20..30 => CallOutcome::Rejected,
                    _ => CallOutcome::Accepted,
                };
                let (first, accepted) =
                    self.sent.entry(window).or_insert_with(|| (report.clone(), false));
                self.conflicting |= *first != report;
                *accepted |= outcome == CallOutcome::Accepted;
                Some(ReporterEvent::ReportEnded { window, outcome })
            }
            ReporterAction::Reported { window, .. } => {
                let at = self.true_time();
                self.accepted_by.entry(window).or_insert(at);
                None
            }
            ReporterAction::Unknown { .. } => None,
            ReporterAction::GiveUp => {
                if self.holder.is_some_and(|it| it.0 == front) {
                    self.holder = None;
                    self.free_from = self.now() + STEP;
                }
                None
            }
        }
    }

    fn write(&mut self, state: ReportState, replaces: Option<StateVersion>) -> StateWrite {
        match self.choose() {
            0..10 => StateWrite::Failed,
            10..20 => StateWrite::Unknown,
            20..35 => {
                self.store(state, replaces.as_ref());
                StateWrite::Unknown
            }
            35..50 => {
                let at = self.steps + 1 + u64::from(self.choose()) % LATEST_EXECUTION;
                self.late_writes.push((at, state, replaces));
                StateWrite::Unknown
            }
            _ => {
                self.store(state, replaces.as_ref()).map_or(StateWrite::Conflict, StateWrite::Done)
            }
        }
    }
}

/// Random bytes of a schedule. Not shrunk: there are hundreds of them, and shrinking takes minutes.
#[derive(Debug, Clone)]
struct Schedule {
    faults: Vec<u8>,
    choices: Vec<u8>,
}

impl Schedule {
    /// Of 256 steps, `dense` have a fault for sure.
    fn random(seed: u64, dense: u8) -> Self {
        let mut random = Gen::from_size_and_seed(GEN_SIZE, seed);
        let mut bytes =
            || -> Vec<u8> { (0..SCHEDULE_STEPS).map(|_| u8::arbitrary(&mut random)).collect() };
        let (mut faults, choices) = (bytes(), bytes());
        for fault in &mut faults {
            if u8::arbitrary(&mut random) < dense {
                *fault %= FAULT_BYTES;
            }
        }
        Self { faults, choices }
    }

    /// A schedule whose other steps have no fault, and whose other choices let nothing get lost.
    fn sparse(steps: usize, faults: &[(usize, u8)], choices: &[(usize, u8)]) -> Self {
        let mut schedule = Self { faults: vec![u8::MAX; steps], choices: vec![99; CHOICES] };
        faults.iter().for_each(|&(index, byte)| schedule.faults[index] = byte);
        choices.iter().for_each(|&(index, byte)| schedule.choices[index] = byte);
        schedule
    }

    fn has_one_set_of_counts_per_window(&self) -> bool {
        let mut world = World::new(self.choices.clone(), false);
        for &fault in &self.faults {
            world.step(Fault::from(fault));
        }
        !world.conflicting
    }
}

fn from_env(name: &str) -> Option<u64> {
    env::var(name).ok()?.parse().ok()
}

/// Checks schedules of consecutive seeds, from a random one unless `DAISYCHUTE_SEED` is set.
fn check_schedules(dense: u8) {
    let first = from_env(SEED).unwrap_or_else(|| RandomState::new().build_hasher().finish());
    for number in 0..from_env("QUICKCHECK_TESTS").unwrap_or(SCHEDULES) {
        let seed = first.wrapping_add(number);
        let schedule = Schedule::random(seed, dense);
        assert!(schedule.has_one_set_of_counts_per_window(), "{SEED}={seed}: {schedule:?}");
    }
}

#[test]
fn no_window_is_sent_with_different_counts() {
    check_schedules(0);
}

#[test]
fn no_window_is_sent_with_different_counts_under_many_faults() {
    check_schedules(60);
}

/// A front that just started holds the duty before it hears its peers, and finds a state that the store went back to.
#[test]
fn state_that_a_restarted_front_finds_does_not_pass_for_the_latest() {
    let faults = [
        (2, 15),
        (12, 22),
        (14, 13),
        (18, 23),
        (26, 14),
        (42, 14),
        (43, 0),
        (47, 14),
        (50, 18),
        (62, 21),
        (66, 17),
        (71, 22),
        (74, 14),
        (77, 19),
        (80, 24),
        (82, 20),
        (90, 23),
        (94, 18),
        (97, 24),
        (100, 8),
        (125, 22),
        (127, 3),
        (138, 23),
        (139, 21),
        (141, 4),
        (159, 24),
        (167, 5),
        (168, 22),
        (177, 23),
        (192, 17),
    ];
    let choices = [
        (12, 250),
        (274, 205),
        (284, 255),
        (324, 61),
        (353, 43),
        (400, 0),
        (438, 1),
        (448, 0),
        (494, 232),
        (504, 255),
        (514, 207),
        (516, 240),
        (596, 143),
        (818, 253),
        (848, 41),
        (1132, 3),
        (1133, 218),
        (1170, 237),
        (1171, 208),
        (1256, 0),
        (1400, 6),
        (1442, 1),
        (1521, 0),
        (1541, 226),
        (1588, 6),
        (1675, 249),
        (1714, 207),
        (1771, 208),
    ];
    assert!(Schedule::sparse(260, &faults, &choices).has_one_set_of_counts_per_window());
}

/// A reporter that never reports would pass the schedules.
#[test]
fn without_faults_each_window_is_reported_in_time_with_all_requests() {
    let mut world = World::new(Vec::new(), true);
    for _ in 0..300 {
        world.step(Fault::None);
    }
    let first = WindowId::containing(UnixTime::from_millis(1_000_000), settings().window).next();
    let windows: BTreeSet<u64> = world.sent.keys().map(|it| it.number()).collect();
    let all: BTreeSet<u64> = (first.number()..first.number() + 28).collect();
    assert!(windows.is_superset(&all), "{windows:?}");
    for (window, (report, accepted)) in &world.sent {
        assert!(*accepted);
        assert_eq!(report.requests(), world.recorded[window], "window {window}");
        let late = settings().freeze_after + Duration::from_millis(500);
        assert!(world.accepted_by[window] <= window.end(settings().window) + late);
    }
}

/// Reports go on after each fault, and miss only what the killed fronts had not told.
#[test]
fn after_the_holder_is_killed_the_windows_go_on() {
    let mut world = World::new(Vec::new(), true);
    for step in 0..300 {
        world.step(if step == 100 { Fault::HolderKilled } else { Fault::None });
    }
    assert!(!world.conflicting);
    let numbers: Vec<u64> = world.sent.keys().map(|it| it.number()).collect();
    assert!(numbers.windows(2).all(|it| it[1] == it[0] + 1), "{numbers:?}");
    let exact =
        world.sent.iter().filter(|(it, (report, _))| report.requests() == world.recorded[it]);
    assert!(exact.count() + 2 >= numbers.len());
}
