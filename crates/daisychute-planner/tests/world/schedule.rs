//! Random schedules of faults, operator actions and plan change requests.

use quickcheck::{Arbitrary, Gen};

pub(crate) const ENTRIES: usize = 3;
pub(crate) const AGENTS: usize = 2;
/// Length of the phase in which faults occur, in milliseconds.
pub(crate) const FAULTS_MS: u64 = 20_000;

/// A scheduled fault or request. `ms` is its duration in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    /// A process is killed and restarted after `ms`.
    Kill { node: usize, ms: u64 },
    /// A process is paused for `ms`.
    Pause { node: usize, ms: u64 },
    /// A process is partitioned from the platform and its peers for `ms`.
    Cut { node: usize, ms: u64 },
    /// The platform is unreachable for `ms`.
    Outage { ms: u64 },
    /// Results of calls and orders are lost for `ms`; the writes and orders take effect immediately, late or never.
    LoseAnswers { ms: u64 },
    /// The clock of an entry jumps `ms` ahead.
    StepClock { entry: usize, ms: u64 },
    /// An engine crashes and restarts.
    CrashEngine { engine: usize },
    /// The next change of an engine fails.
    FailChange { engine: usize },
    /// This many operators change the configuration concurrently.
    Apply { operators: usize },
    /// An operator requests a drain or withdraws the request.
    Drain { engine: usize, drain: bool },
    /// The policy of every entry requests a model on an engine.
    RequestChange { engine: usize, model: u8 },
}

/// Acts and the seed that determines every random delay.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    /// Start time in milliseconds, and act.
    pub(crate) acts: Vec<(u64, Act)>,
}

impl Schedule {
    pub(crate) fn steps_clocks(&self) -> bool {
        self.acts.iter().any(|it| matches!(it.1, Act::StepClock { .. }))
    }
}

fn random_below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn random_index(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = random_index(g, ENTRIES + AGENTS);
        let engine = random_index(g, AGENTS);
        let ms = 100 + random_below(g, 9_000);
        match random_below(g, 15) {
            0 | 1 => Self::Kill { node, ms: ms / 4 },
            2 | 3 => Self::Pause { node, ms: ms * 3 / 2 },
            4 => Self::Cut { node, ms },
            5 => Self::Outage { ms },
            6 | 7 => Self::LoseAnswers { ms },
            8 => Self::StepClock { entry: node % ENTRIES, ms },
            9 => Self::CrashEngine { engine },
            10 => Self::FailChange { engine },
            11 => Self::Apply { operators: 1 + random_index(g, 2) },
            12 => Self::Drain { engine, drain: bool::arbitrary(g) },
            _ => Self::RequestChange { engine, model: u8::arbitrary(g) % 4 },
        }
    }
}

/// Random start time of an act. Half of the acts fall shortly after `moment`, so that faults coincide; in a quarter of
/// the schedules `moment` is the start.
fn start_time(g: &mut Gen, moment: u64) -> u64 {
    match random_below(g, 4) {
        0 => moment + random_below(g, 3_000),
        1 => moment + random_below(g, 300),
        _ => random_below(g, FAULTS_MS),
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 4 + random_index(g, 14);
        let at_start = random_below(g, 4) == 0;
        let moment = if at_start { 0 } else { random_below(g, FAULTS_MS - 3_000) };
        let acts = (0..count).map(|_| (start_time(g, moment), Act::arbitrary(g))).collect();
        Self { seed: u64::arbitrary(g), acts }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        let shorter = (0..self.acts.len()).map(move |left_out| {
            let mut schedule = whole.clone();
            schedule.acts.remove(left_out);
            schedule
        });
        Box::new(shorter)
    }
}
