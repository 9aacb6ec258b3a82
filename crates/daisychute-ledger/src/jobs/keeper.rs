//! Noting which results were fetched, and deleting what nobody needs any more.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::Time;

use super::id::{JobId, SegmentId};
use super::limits::JobLimits;
use super::object::{JobState, SegmentState};
use crate::{PutResult, ReadResult, Stored, Version, WallTime};

/// What a [`JobKeeper`] is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperEvent {
    /// The time that [`KeeperAction::SetTimer`] named has come; also the first event.
    Tick {
        /// The wall clock.
        wall: WallTime,
    },
    /// The caller has the result of this job, and says that it may be deleted.
    Fetched(JobId),
    /// The state of a segment was listed, watched or read.
    State {
        /// The segment.
        segment: SegmentId,
        /// Its state.
        read: ReadResult<SegmentState>,
    },
    /// The segments that a rare sweep found segments or results of; only for a keeper that is told of all states.
    ///
    /// A write that took effect after its segment was deleted leaves an object behind that no state tells of.
    Swept(BTreeSet<SegmentId>),
    /// How a write ended.
    Put {
        /// The number of the write.
        seq: u64,
        /// How it ended.
        result: PutResult,
    },
}

/// What a [`JobKeeper`] asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperAction {
    /// Read the state of a segment.
    GetState(SegmentId),
    /// Write the state of a segment if it has this version.
    PutState {
        /// The number of the write.
        seq: u64,
        /// The segment.
        segment: SegmentId,
        /// The version that it replaces.
        expect: Version,
        /// What to write.
        state: SegmentState,
    },
    /// Delete the segment and every result object of it, which are listed by the prefix of their names; then delete its
    /// state if it has this version, and read the state.
    Delete {
        /// The segment.
        segment: SegmentId,
        /// The version of its state; [`Version::ABSENT`] where it has none.
        expect: Version,
    },
    /// Send [`KeeperEvent::Tick`] at this time.
    SetTimer(Time),
}

#[derive(Debug)]
struct Known {
    version: Version,
    state: SegmentState,
}

/// Notes fetched results in batches, and deletes segments that are fetched or past their retention.
///
/// Any number of them may work on the same segments, since every write names the version that it replaces. One process
/// of a data centre is told of all states by its watch; the others only of those whose results they fetch.
#[derive(Debug)]
pub struct JobKeeper {
    limits: JobLimits,
    known: BTreeMap<SegmentId, Known>,
    fetched: BTreeMap<SegmentId, BTreeSet<u32>>,
    // The segments of the last sweep that had no known state.
    strays: BTreeSet<SegmentId>,
    // Those of them whose state is being read.
    suspects: BTreeSet<SegmentId>,
    // The segment of each write that has not been answered.
    puts: BTreeMap<u64, SegmentId>,
    seq: u64,
}

impl JobKeeper {
    /// A keeper that knows of no segment.
    #[must_use]
    pub const fn new(limits: JobLimits) -> Self {
        Self {
            limits,
            known: BTreeMap::new(),
            fetched: BTreeMap::new(),
            strays: BTreeSet::new(),
            suspects: BTreeSet::new(),
            puts: BTreeMap::new(),
            seq: 0,
        }
    }

    /// Whether it knows of no segment.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty() && self.fetched.is_empty()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: KeeperEvent, out: &mut Vec<KeeperAction>) {
        match event {
            KeeperEvent::Tick { wall } => self.tick(now, wall, out),
            KeeperEvent::Fetched(job) => {
                self.fetched.entry(job.segment).or_default().insert(job.index);
            }
            KeeperEvent::State { segment, read } => self.state_read(segment, read, out),
            KeeperEvent::Swept(segments) => self.sweep(segments, out),
            KeeperEvent::Put { seq, .. } => {
                let segment = self.puts.remove(&seq);
                out.extend(segment.map(KeeperAction::GetState));
            }
        }
    }

    fn tick(&mut self, now: Time, wall: WallTime, out: &mut Vec<KeeperAction>) {
        let past = |it: &Known| it.state.written.after(self.limits.retention) <= wall;
        let fetched = |it: &Known| it.state.jobs.iter().all(|it| *it == JobState::Fetched);
        for (segment, it) in self.known.iter().filter(|(_, it)| past(it) || fetched(it)) {
            let (segment, expect) = (segment.clone(), it.version);
            out.push(KeeperAction::Delete { segment, expect });
        }
        for segment in self.fetched.keys().filter(|it| !self.known.contains_key(*it)) {
            out.push(KeeperAction::GetState(segment.clone()));
        }
        self.puts.clear();
        self.mark_fetched(out);
        out.push(KeeperAction::SetTimer(now + self.limits.publish));
    }

    /// Reads the state of what two sweeps found and no state told of; see [`Self::absent`].
    fn sweep(&mut self, mut segments: BTreeSet<SegmentId>, out: &mut Vec<KeeperAction>) {
        segments.retain(|it| !self.known.contains_key(it));
        let again = segments.intersection(&self.strays).cloned();
        self.suspects = again.collect();
        out.extend(self.suspects.iter().cloned().map(KeeperAction::GetState));
        self.strays = segments;
    }

    /// Forgets a segment without a state. The state is written before the segment and deleted after it, so that what is
    /// left of a suspect can be deleted.
    fn absent(&mut self, segment: SegmentId, out: &mut Vec<KeeperAction>) {
        self.known.remove(&segment);
        self.fetched.remove(&segment);
        if self.suspects.remove(&segment) {
            out.push(KeeperAction::Delete { segment, expect: Version::ABSENT });
        }
    }

    fn mark_fetched(&mut self, out: &mut Vec<KeeperAction>) {
        for (segment, indexes) in &self.fetched {
            let Some(known) = self.known.get(segment) else { continue };
            let mut state = known.state.clone();
            for index in indexes {
                if let Some(it @ JobState::Done(_)) = state.jobs.get_mut(*index as usize) {
                    *it = JobState::Fetched;
                }
            }
            if state != known.state {
                self.seq += 1;
                let (segment, expect) = (segment.clone(), known.version);
                self.puts.insert(self.seq, segment.clone());
                out.push(KeeperAction::PutState { seq: self.seq, segment, expect, state });
            }
        }
    }

    fn state_read(
        &mut self,
        segment: SegmentId,
        read: ReadResult<SegmentState>,
        out: &mut Vec<KeeperAction>,
    ) {
        let Stored { version, body: state, .. } = match read {
            ReadResult::Failed => return,
            ReadResult::Absent => return self.absent(segment, out),
            ReadResult::Found(it) => it,
        };
        if self.known.get(&segment).is_some_and(|it| version < it.version) {
            return;
        }
        let done = |it: &u32| matches!(state.jobs.get(*it as usize), Some(JobState::Done(_)));
        if let Some(indexes) = self.fetched.get_mut(&segment) {
            indexes.retain(done);
        }
        self.fetched.retain(|_, indexes| !indexes.is_empty());
        self.known.insert(segment, Known { version, state });
    }
}
