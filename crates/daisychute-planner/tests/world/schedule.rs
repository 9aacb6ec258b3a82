//! A schedule of faults, operators' acts and wishes.

use quickcheck::{Arbitrary, Gen};

pub(crate) const ENTRIES: usize = 3;
pub(crate) const AGENTS: usize = 2;
/// The time in which faults happen, in milliseconds.
pub(crate) const FAULTS_MS: u64 = 20_000;

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Act {
    /// A process is killed and replaced after a while.
    Kill { node: usize, ms: u64 },
    /// A process is stopped and goes on after a while.
    Pause { node: usize, ms: u64 },
    /// A process is cut off from the platform and from its peers.
    Cut { node: usize, ms: u64 },
    /// The platform is down.
    Outage { ms: u64 },
    /// Answers are lost, and writes and orders take effect at once, late or never.
    LoseAnswers { ms: u64 },
    /// The clock of an entry jumps ahead.
    StepClock { entry: usize, ms: u64 },
    /// An engine crashes and restarts.
    CrashEngine { engine: usize },
    /// The next change of an engine fails.
    FailChange { engine: usize },
    /// So many operators change the configuration at once.
    Apply { operators: usize },
    /// An operator asks for a drain, or takes it back.
    Drain { engine: usize, drain: bool },
    /// The policy of every entry wishes a model on an engine.
    RequestChange { engine: usize, model: u8 },
}

/// A schedule. The seed decides every delay.
#[derive(Debug, Clone)]
pub(crate) struct Schedule {
    pub(crate) seed: u64,
    /// When, in milliseconds, and what.
    pub(crate) acts: Vec<(u64, Act)>,
}

impl Schedule {
    pub(crate) fn steps_clocks(&self) -> bool {
        self.acts.iter().any(|it| matches!(it.1, Act::StepClock { .. }))
    }
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn index(g: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(g) % bound
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = index(g, ENTRIES + AGENTS);
        let engine = index(g, AGENTS);
        let ms = 100 + below(g, 9_000);
        match below(g, 15) {
            0 | 1 => Self::Kill { node, ms: ms / 4 },
            2 | 3 => Self::Pause { node, ms: ms * 3 / 2 },
            4 => Self::Cut { node, ms },
            5 => Self::Outage { ms },
            6 | 7 => Self::LoseAnswers { ms },
            8 => Self::StepClock { entry: node % ENTRIES, ms },
            9 => Self::CrashEngine { engine },
            10 => Self::FailChange { engine },
            11 => Self::Apply { operators: 1 + index(g, 2) },
            12 => Self::Drain { engine, drain: bool::arbitrary(g) },
            _ => Self::RequestChange { engine, model: u8::arbitrary(g) % 4 },
        }
    }
}

/// Half of the acts come close together, some of these as everything starts.
fn time(g: &mut Gen, moment: u64) -> u64 {
    match below(g, 4) {
        0 => moment + below(g, 3_000),
        1 => moment + below(g, 300),
        _ => below(g, FAULTS_MS),
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 4 + index(g, 14);
        let starts = below(g, 4) == 0;
        let moment = if starts { 0 } else { below(g, FAULTS_MS - 3_000) };
        let acts = (0..count).map(|_| (time(g, moment), Act::arbitrary(g))).collect();
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
