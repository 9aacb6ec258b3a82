//! Faults that the soak injects from outside the processes, and their random choice.

use std::time::Duration;

use daisychute_platform_standin::{Act, StoreFault};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A fault with its parameters; the `usize` that comes first is the index of the front or worker that it hits.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Fault {
    /// A front is shut down gracefully and restarted.
    Stop(usize),
    /// A front is killed and restarted.
    Kill(usize),
    /// A front is suspended for this long.
    Pause(usize, Duration),
    /// A front gets a SIGHUP and reloads its settings.
    Reload(usize),
    /// The store responds to one front with this fault for this long.
    Store(usize, StoreFault, Duration),
    /// The store discards its change history and ends the pending watches.
    Compact,
    /// A worker does this with its next requests, as many as the last number says.
    Worker(usize, Act, usize),
    /// The open connections of a worker are reset.
    Reset(usize),
    /// The open connections of a worker stay open, but carry no more data.
    Silence(usize),
    /// A worker refuses connections for this long, and its open connections are reset.
    Unreachable(usize, Duration),
    /// A worker drains, and after this long is registered again as newly started.
    Drain(usize, Duration),
    /// A worker announces that it is leaving, and after this long is registered again as newly started.
    Leave(usize, Duration),
    /// A worker refuses its next request and asks for a pause of this many seconds.
    AskForPause(usize, String),
    /// A worker names a limit of so many requests per second for this long.
    Limit(usize, f64, Duration),
    /// A worker isn't listed any more, and after this long is registered again as newly started.
    Remove(usize, Duration),
    /// The configuration gets a new version.
    Configure,
    /// The configuration gets a new version that fronts must reject as a whole.
    ConfigureInvalid,
    /// The store responds to all fronts with this fault for this long.
    StoreDown(StoreFault, Duration),
    /// The responses of the store to all pending calls are lost.
    LoseResponses,
    /// All open connections to the store go silent for good.
    SilenceStore,
    /// The store is restored from a copy that is at least this old. What the operator and the workers wrote since is
    /// written again.
    Restore(Duration),
    /// Another writer puts an entry into the list of this kind under this name, and the store discards its history.
    ForeignEntry(&'static str, String),
    /// All fronts are killed and restarted.
    KillAll,
    /// A front and these others don't hear each other for this long, in which the store doesn't respond to it either if the
    /// `bool` is true.
    CutOff(usize, Vec<usize>, bool, Duration),
}

/// Kinds of the objects that fronts list.
const LISTED_KINDS: [&str; 4] = ["servers", "fronts", "stream-versions", "config"];
/// Beginnings of the names of foreign entries, so that they stand before, among and after the others.
const FOREIGN_NAME_STARTS: [&str; 6] = ["", "f", "front-0", "i-", "i-1", "~"];
/// Parts of names that aren't safe in a URL. Some are escapes of other names.
const UNSAFE_NAME_PARTS: [&str; 14] = [
    "&", "&after=z", "+", "#", "%", "%41", "%69-3", "%7E", " ", "\r\n", "\0", "\u{fc}", "/../",
    "\"\\",
];

impl Fault {
    /// Chooses a random fault for a fleet of this many fronts and workers.
    pub(crate) fn random(rng: &mut Pcg64Mcg, fronts: usize, workers: usize) -> Self {
        let front = rng.random_range(0..fronts);
        let worker = rng.random_range(0..workers);
        let span = Duration::from_millis(rng.random_range(200..2_500));
        let store_faults =
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
        match rng.random_range(0..14) {
            0 | 1 => Self::Stop(front),
            2 => Self::Kill(front),
            3 => Self::Pause(front, span),
            4 => Self::Reload(front),
            5 | 6 => {
                Self::Store(front, store_faults[rng.random_range(0..store_faults.len())], span)
            }
            7 => Self::Compact,
            8 | 9 => {
                let act = acts[rng.random_range(0..acts.len())].clone();
                Self::Worker(worker, act, rng.random_range(1..6))
            }
            10 => Self::Reset(worker),
            11 => Self::Silence(worker),
            12 => Self::Unreachable(worker, span),
            _ if rng.random_range(0..2) == 0 => Self::Drain(worker, span),
            _ => Self::Configure,
        }
    }

    /// Chooses a random announcement of one of this many workers.
    pub(crate) fn random_notice(rng: &mut Pcg64Mcg, workers: usize) -> Self {
        let worker = rng.random_range(0..workers);
        if rng.random_range(0..3) == 0 {
            return Self::Leave(worker, Duration::from_millis(rng.random_range(1_500..5_000)));
        }
        Self::AskForPause(worker, format!("{:.2}", rng.random_range(0.3..3.0)))
    }

    /// Chooses a random limit of one of this many workers, for longer than the time from which it has to hold.
    pub(crate) fn random_limit(rng: &mut Pcg64Mcg, workers: usize) -> Self {
        let limit = f64::from(rng.random_range(15..120_u32)) / 10.0;
        let span = Duration::from_millis(rng.random_range(6_000..12_000));
        Self::Limit(rng.random_range(0..workers), limit, span)
    }

    /// Chooses a random disruption of the store as a whole.
    pub(crate) fn random_of_store(rng: &mut Pcg64Mcg) -> Self {
        let span = Duration::from_millis(rng.random_range(200..2_500));
        let faults =
            [StoreFault::Busy, StoreFault::Reset, StoreFault::Silent, StoreFault::Slow(span / 4)];
        match rng.random_range(0..6) {
            0 | 1 => Self::SilenceStore,
            2 | 3 => Self::LoseResponses,
            _ => Self::StoreDown(faults[rng.random_range(0..faults.len())], span),
        }
    }

    /// Chooses a random change of the configuration or of one of the workers in `workers`.
    pub(crate) fn random_change(rng: &mut Pcg64Mcg, workers: &[usize]) -> Self {
        let worker = workers[rng.random_range(0..workers.len())];
        let span = Duration::from_millis(rng.random_range(3_500..12_000));
        match rng.random_range(0..8) {
            0 | 1 => Self::Drain(worker, span),
            2 | 3 => Self::Remove(worker, span),
            4 => Self::ConfigureInvalid,
            _ => Self::Configure,
        }
    }

    /// Chooses a random entry of another writer.
    pub(crate) fn random_foreign_entry(rng: &mut Pcg64Mcg) -> Self {
        let kind = LISTED_KINDS[rng.random_range(0..LISTED_KINDS.len())];
        let start = FOREIGN_NAME_STARTS[rng.random_range(0..FOREIGN_NAME_STARTS.len())];
        let part = UNSAFE_NAME_PARTS[rng.random_range(0..UNSAFE_NAME_PARTS.len())];
        Self::ForeignEntry(kind, format!("{start}{part}"))
    }

    /// Whether it is planned maintenance, during which no request may fail.
    pub(crate) const fn is_planned(&self) -> bool {
        matches!(
            self,
            Self::Stop(_)
                | Self::Reload(_)
                | Self::Configure
                | Self::ConfigureInvalid
                | Self::Drain(..)
                | Self::Remove(..)
                | Self::Restore(_)
                | Self::Leave(..)
                | Self::AskForPause(..)
                | Self::Limit(..)
                | Self::ForeignEntry(..)
        )
    }
}
