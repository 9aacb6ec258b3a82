//! The platform objects that hold jobs.

use std::collections::BTreeMap;
use std::sync::Arc;

use daisychute_core::{ClassName, TenantName};
use serde::{Deserialize, Serialize};

use super::id::ResultObjectId;
use crate::{ProcessId, WallTime};

/// What a job is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// For whom.
    pub tenant: TenantName,
    /// In which class.
    pub class: ClassName,
    /// The request, as JSON text.
    pub work: Arc<str>,
}

/// The answer to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The body of the answer.
    pub body: Arc<str>,
}

/// The jobs that became durable in one write. Never changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The jobs, by index.
    pub jobs: Vec<JobSpec>,
}

/// Some results of one segment. Never changes, and counts only once a [`SegmentState`] refers to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultObject {
    /// The results, by index of the job.
    pub results: BTreeMap<u32, JobResult>,
}

/// How far a job has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// It waits or runs.
    Pending,
    /// Its result is in this object.
    Done(ResultObjectId),
    /// Its result was fetched and may be deleted.
    Fetched,
}

/// Who runs the jobs of a segment, and how far they have come. Small, and the only object that changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentState {
    /// When the segment was written, by the clock of its writer.
    pub written: WallTime,
    /// Counts the claims. A claim is lost once this number has grown.
    pub epoch: u64,
    /// Who runs the jobs.
    pub claimer: Option<ProcessId>,
    /// The jobs, by index.
    // Invariant: a job leaves `Pending` and `Done` only forwards.
    pub jobs: Vec<JobState>,
}

impl SegmentState {
    /// The state of a segment that nobody has claimed.
    #[must_use]
    pub fn new(written: WallTime, jobs: usize) -> Self {
        Self { written, epoch: 0, claimer: None, jobs: vec![JobState::Pending; jobs] }
    }

    /// Whether a job waits or runs.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.jobs.contains(&JobState::Pending)
    }

    /// The jobs that wait or run, in order.
    pub fn pending(&self) -> impl Iterator<Item = u32> {
        let pending = |(_, it): &(u32, &JobState)| **it == JobState::Pending;
        (0..).zip(&self.jobs).filter(pending).map(|(index, _)| index)
    }
}
