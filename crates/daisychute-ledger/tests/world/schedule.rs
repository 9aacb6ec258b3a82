//! Random schedules of calls and faults.

use quickcheck::{Arbitrary, Gen};

/// One step of a schedule. Numbers are taken modulo what there is to choose from.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// A call under a new key.
    Call { entry: u8, kind: KeyKind },
    /// A call under a key used before, the newest being 0.
    Repeat { entry: u8, back: u8, other_body: bool },
    /// So many quarters of a second pass.
    Wait(u8),
    /// An agent dies and, after a while, starts anew.
    KillAgent(u8),
    /// An entry dies and starts anew.
    KillEntry(u8),
    /// An agent is stopped for so many seconds and then goes on.
    PauseAgent(u8, u8),
    /// An entry is stopped for so many seconds and then goes on.
    PauseEntry(u8, u8),
    /// The platform stops or starts to answer.
    Outage(bool),
    /// An agent loses or regains the platform.
    CutPlatform(u8, bool),
    /// An entry loses or regains the platform.
    CutEntry(u8, bool),
    /// An entry and an agent lose or regain each other.
    CutLink(u8, u8, bool),
    /// Answers of the platform are or are not lost, and effects come late.
    LossyPlatform(bool),
    /// Frames are or are not duplicated and crossed.
    RoughNetwork(bool),
    /// An agent hands its slots to the others, as it does before a planned stop.
    Leave(u8),
    /// Another entry assigns slots too.
    SecondAssigner(bool),
}

/// How a key is made.
#[derive(Debug, Clone, Copy)]
pub enum KeyKind {
    /// A UUIDv7 of a caller whose clock is off by so many seconds.
    Dated(i8),
    /// A caller's key that doesn't tell its age.
    Ageless,
    /// A key made by the entry.
    Entry,
}

/// A schedule and the seed of all delays in it.
#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub steps: Vec<Step>,
}

impl Arbitrary for KeyKind {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..5 => Self::Dated(i8::arbitrary(g) % 8),
            5..7 => Self::Ageless,
            _ => Self::Entry,
        }
    }
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut any = || u8::arbitrary(g);
        match any() % 40 {
            0..8 => Self::Call { entry: any(), kind: KeyKind::arbitrary(g) },
            8..16 => Self::Repeat { entry: any(), back: any() % 4, other_body: any() % 16 == 0 },
            16..20 => Self::Wait(any() % 8),
            20..23 => Self::Wait(any() % 200),
            23 => Self::KillAgent(any()),
            24 => Self::KillEntry(any()),
            25 | 26 => Self::PauseAgent(any(), any() % 36),
            27 => Self::PauseEntry(any(), any() % 36),
            28 => Self::Outage(true),
            29 | 30 => Self::Outage(false),
            31 => Self::CutPlatform(any(), true),
            32 => Self::CutPlatform(any(), false),
            33 => Self::CutLink(any(), any(), true),
            34 => Self::CutLink(any(), any(), false),
            35 => Self::LossyPlatform(bool::arbitrary(g)),
            36 | 37 => Self::RoughNetwork(bool::arbitrary(g)),
            38 if any() % 2 == 0 => Self::CutEntry(any(), bool::arbitrary(g)),
            38 => Self::Leave(any()),
            _ => Self::SecondAssigner(bool::arbitrary(g)),
        }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = 16 + usize::from(u8::arbitrary(g) % 32);
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
