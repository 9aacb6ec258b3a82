//! What a job runner is told and what it asks for.

use daisychute_core::Time;

use super::id::{JobId, ResultObjectId, SegmentId};
use super::object::{JobResult, JobSpec, ResultObject, Segment, SegmentState};
use crate::{PutResult, ReadResult, Version};

/// What a [`JobRunner`](crate::JobRunner) is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// The time that [`RunnerAction::SetTimer`] named has come; also the first event.
    Tick,
    /// How many jobs may run at once, as the classes allow.
    Capacity(usize),
    /// The state of a segment was listed, watched or read.
    State {
        /// The segment.
        segment: SegmentId,
        /// Its state.
        read: ReadResult<SegmentState>,
    },
    /// A segment was read.
    Segment {
        /// The segment.
        segment: SegmentId,
        /// What was read.
        read: ReadResult<Segment>,
    },
    /// How a write ended.
    Put {
        /// The number of the write.
        seq: u64,
        /// How it ended.
        result: PutResult,
    },
    /// A job was answered.
    Answered {
        /// The job.
        job: JobId,
        /// The answer.
        result: JobResult,
    },
    /// A job was refused or lost and is to be run again later.
    Again {
        /// The job.
        job: JobId,
    },
}

/// What a [`JobRunner`](crate::JobRunner) asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerAction {
    /// Read the state of a segment.
    GetState(SegmentId),
    /// Read a segment.
    GetSegment(SegmentId),
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
    /// Create an object with results.
    PutResults {
        /// The number of the write.
        seq: u64,
        /// Its name.
        id: ResultObjectId,
        /// What to write.
        object: ResultObject,
    },
    /// Run this job as a request and report how it ended.
    Run {
        /// The job.
        job: JobId,
        /// What it is to do.
        spec: JobSpec,
    },
    /// The claim is lost: nobody waits for this run any more.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Send [`RunnerEvent::Tick`] at this time.
    SetTimer(Time),
}
