//! A claim on the jobs of one segment, as its holder sees it.

use std::collections::{BTreeMap, BTreeSet};

use daisychute_core::Time;

use super::id::{JobId, ResultObjectId, SegmentId};
use super::limits::JobLimits;
use super::object::{JobResult, JobSpec, JobState, ResultObject, SegmentState};
use crate::Version;

/// A write of a segment's state that has not been answered.
#[derive(Debug)]
pub(super) struct SentState {
    pub(super) seq: u64,
    pub(super) at: Time,
    pub(super) state: SegmentState,
}

#[derive(Debug)]
pub(super) struct Claim {
    pub(super) id: SegmentId,
    pub(super) version: Version,
    pub(super) state: SegmentState,
    // None until the segment has been read.
    pub(super) specs: Option<Vec<JobSpec>>,
    // Invariant: every pending job is in exactly one of the following four.
    waiting: BTreeMap<u32, Time>,
    running: BTreeSet<u32>,
    finished: BTreeMap<u32, JobResult>,
    written: BTreeMap<u32, ResultObjectId>,
    finished_since: Option<Time>,
    // The results that are being written, and under which name.
    pub(super) writing: Option<(ResultObjectId, ResultObject, Time)>,
    // The state that is being written, and since when.
    pub(super) sent: Option<SentState>,
    pub(super) kept: Time,
    begun: Time,
    // Whether the segment was never written, so that nobody was promised anything.
    is_orphan: bool,
}

impl Claim {
    pub(super) fn new(now: Time, id: SegmentId, version: Version, state: SegmentState) -> Self {
        let waiting = state.pending().map(|it| (it, now)).collect();
        Self {
            id,
            version,
            state,
            specs: None,
            waiting,
            running: BTreeSet::new(),
            finished: BTreeMap::new(),
            written: BTreeMap::new(),
            finished_since: None,
            writing: None,
            sent: None,
            kept: now,
            begun: now,
            is_orphan: false,
        }
    }

    pub(super) fn job(&self, index: u32) -> JobId {
        JobId { segment: self.id.clone(), index }
    }

    pub(super) fn running(&self) -> &BTreeSet<u32> {
        &self.running
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Notes that there is no segment. A writer that has not created it by the time at which a claim lapses has given
    /// its submits up.
    pub(super) fn segment_absent(&mut self, now: Time, limits: &JobLimits) {
        self.is_orphan = self.specs.is_none() && self.begun + limits.claim <= now;
    }

    /// The next job to run.
    pub(super) fn start_next(&mut self, now: Time) -> Option<(JobId, JobSpec)> {
        let specs = self.specs.as_ref()?;
        let (index, _) = self.waiting.iter().find(|(_, at)| **at <= now)?;
        let index = *index;
        let spec = specs.get(index as usize)?.clone();
        self.waiting.remove(&index);
        self.running.insert(index);
        Some((self.job(index), spec))
    }

    pub(super) fn answered(&mut self, now: Time, index: u32, result: JobResult) {
        if self.running.remove(&index) {
            self.finished.insert(index, result);
            self.finished_since.get_or_insert(now);
        }
    }

    pub(super) fn again(&mut self, at: Time, index: u32) {
        if self.running.remove(&index) {
            self.waiting.insert(index, at);
        }
    }

    /// The results to write now, if enough have come together.
    pub(super) fn take_results(&mut self, now: Time, seq: u64, limits: &JobLimits) -> bool {
        let since = self.finished_since.filter(|_| self.writing.is_none());
        let complete = self.waiting.is_empty() && self.running.is_empty();
        if !since.is_some_and(|it| complete || it + limits.publish <= now) {
            return false;
        }
        let mut object = ResultObject { results: BTreeMap::new() };
        let mut bytes = 0;
        while let Some((index, result)) = self.finished.first_key_value() {
            bytes += serde_json::to_string(result).map_or(0, |it| it.len());
            if bytes > limits.object_bytes && !object.results.is_empty() {
                break;
            }
            object.results.insert(*index, result.clone());
            self.finished.pop_first();
        }
        if self.finished.is_empty() {
            self.finished_since = None;
        }
        let id = ResultObjectId { segment: self.id.clone(), epoch: self.state.epoch, seq };
        self.writing = Some((id, object, now));
        true
    }

    /// The results are durable; the state may refer to them.
    pub(super) fn results_written(&mut self) {
        let Some((id, object, _)) = self.writing.take() else { return };
        self.written.extend(object.results.into_keys().map(|index| (index, id.clone())));
    }

    /// The state to write now: with references to results, or as it is to keep the claim.
    pub(super) fn next_state(&self, now: Time, limits: &JobLimits) -> Option<SegmentState> {
        if self.sent.is_some() {
            return None;
        }
        if self.written.is_empty() && !self.is_orphan && now < self.kept + limits.renew {
            return None;
        }
        let mut state = self.state.clone();
        if self.is_orphan {
            state.jobs.fill(JobState::Fetched);
        }
        for (index, id) in &self.written {
            if let Some(it) = state.jobs.get_mut(*index as usize) {
                *it = JobState::Done(id.clone());
            }
        }
        Some(state)
    }

    /// Takes the state as it is on the platform, still under this claim.
    pub(super) fn refresh(&mut self, now: Time, version: Version, state: SegmentState) {
        if version > self.version {
            self.version = version;
            self.state = state;
            self.kept = now;
        }
        let jobs = &self.state.jobs;
        let pending = |index: &u32| jobs.get(*index as usize) == Some(&JobState::Pending);
        self.written.retain(|index, _| pending(index));
    }
}
