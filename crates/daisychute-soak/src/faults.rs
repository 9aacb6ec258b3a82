//! Faults from outside of the processes, in series that overlap.

use std::time::Duration;

use daisychute_platform_standin::{Act, StoreFault};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// One fault, with the thing that it strikes by its number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A front is asked to stop, and starts again.
    Stop(usize),
    /// A front is killed, and starts again.
    Kill(usize),
    /// A front stands still for so long.
    Pause(usize, Duration),
    /// A front is told that its settings changed.
    Reload(usize),
    /// The store misbehaves towards a front for so long.
    Door(usize, StoreFault, Duration),
    /// The store forgets its history.
    Compact,
    /// A worker does this with its next requests.
    Worker(usize, Act, usize),
    /// The connections of a worker are reset.
    Reset(usize),
    /// The connections of a worker fall silent for good.
    Silence(usize),
    /// A worker can't be reached for so long.
    Unreachable(usize, Duration),
    /// A worker leaves, and another start of it comes back after so long.
    Leave(usize, Duration),
    /// The configuration changes.
    Configure,
}

impl Fault {
    /// Draws a fault.
    pub(crate) fn draw(random: &mut Pcg64Mcg, fronts: usize, workers: usize) -> Self {
        let front = random.random_range(0..fronts);
        let worker = random.random_range(0..workers);
        let span = Duration::from_millis(random.random_range(200..2_500));
        let doors =
            [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::Slow(span / 4)];
        let acts = [
            Act::Full,
            Act::Misdirected,
            Act::Fail,
            Act::CloseUnanswered,
            Act::CloseUnread,
            Act::Garbage,
            Act::LateAnswerFirst,
            Act::ExtraAnswer,
            Act::CutAfter(3),
            Act::Silent(span),
            Act::Truncate,
            Act::FalseFull,
        ];
        match random.random_range(0..14) {
            0 | 1 => Self::Stop(front),
            2 => Self::Kill(front),
            3 => Self::Pause(front, span),
            4 => Self::Reload(front),
            5 | 6 => Self::Door(front, doors[random.random_range(0..doors.len())], span),
            7 => Self::Compact,
            8 | 9 => {
                let act = acts[random.random_range(0..acts.len())].clone();
                Self::Worker(worker, act, random.random_range(1..6))
            }
            10 => Self::Reset(worker),
            11 => Self::Silence(worker),
            12 => Self::Unreachable(worker, span),
            _ if random.random_range(0..2) == 0 => Self::Leave(worker, span),
            _ => Self::Configure,
        }
    }

    /// Whether it is planned work, around which no request may be lost.
    pub(crate) const fn is_planned(&self) -> bool {
        matches!(self, Self::Stop(_) | Self::Reload(_) | Self::Configure | Self::Leave(..))
    }
}
