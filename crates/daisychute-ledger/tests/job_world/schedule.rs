//! Random schedules of submits and faults.

use quickcheck::{Arbitrary, Gen};

#[derive(Debug, Clone, Copy)]
pub enum Step {
    Submit { entry: u8, jobs: u8 },
    Wait(u8),
    Kill(u8),
    KillAll,
    Pause(u8, u8),
    Outage(bool),
    Lossy(bool),
}

#[derive(Debug, Clone)]
pub struct Schedule {
    pub seed: u64,
    pub steps: Vec<Step>,
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
