//! Disruptions of workers and fronts, and their random choice.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// What happens to a worker or front, which is given by its index.
#[derive(Debug, Clone, Copy)]
pub(super) enum Disruption {
    /// A worker is killed, and replaced after this long.
    KillWorker(usize, Duration),
    /// A worker drains for this long, is then terminated with the streams that it still has, and replaced.
    DrainWorker(usize, Duration),
    /// A worker is suspended for this long.
    PauseWorker(usize, Duration),
    /// The open connections of a worker are reset.
    Cut(usize),
    /// All workers drain one after the other, and are replaced by workers of a new software version.
    Release,
    /// A front is terminated and restarted.
    StopFront(usize),
    /// A front is killed and restarted.
    KillFront(usize),
    /// A worker is told to stop without having drained, and replaced once it has ended.
    StopWorker(usize),
    /// A front is suspended for this long.
    SuspendFront(usize, Duration),
    /// A front that was suspended goes on.
    ResumeFront(usize),
    /// A worker that was suspended goes on.
    ResumeWorker(usize),
    /// A worker ends, if it hasn't, and a new one takes its place.
    ReplaceWorker(usize),
    /// A front is restarted once it has ended.
    RestartFront(usize),
}

impl Disruption {
    /// Chooses a random disruption of a fleet of this many workers and fronts.
    pub(super) fn random(rng: &mut Pcg64Mcg, workers: usize, fronts: usize) -> Self {
        let worker = rng.random_range(0..workers);
        let front = rng.random_range(0..fronts);
        let span = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..16) {
            0..=4 => Self::KillWorker(worker, span / 2),
            5..=8 => Self::DrainWorker(worker, span / 4),
            9 | 10 => Self::PauseWorker(worker, span),
            11 | 12 => Self::Cut(worker),
            13 => Self::Release,
            14 => Self::StopFront(front),
            _ => Self::KillFront(front),
        }
    }
}
