//! Making jobs durable.

use std::collections::BTreeMap;

use daisychute_core::{Refusal, RefusalReason, RequestId, Time};

use super::id::{JobId, SegmentId};
use super::limits::JobLimits;
use super::object::{JobSpec, Segment, SegmentState};
use crate::{ProcessId, PutResult, WallTime};

/// What a [`JobSubmitter`] is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitEvent {
    /// A caller submits a job.
    Submit {
        /// The request that waits to hear that the job is durable.
        waiter: RequestId,
        /// The job.
        job: JobSpec,
        /// The wall clock.
        wall: WallTime,
    },
    /// How a write ended.
    Put {
        /// The number of the write.
        seq: u64,
        /// How it ended.
        result: PutResult,
    },
    /// The time that [`SubmitAction::SetTimer`] named has come.
    Tick,
}

/// What a [`JobSubmitter`] asks for. Both writes create an object that must not exist yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitAction {
    /// Create this segment.
    PutSegment {
        /// The number of the write.
        seq: u64,
        /// Its name.
        id: SegmentId,
        /// What to write.
        segment: Segment,
    },
    /// Create the state of this segment.
    PutState {
        /// The number of the write.
        seq: u64,
        /// Its name.
        id: SegmentId,
        /// What to write.
        state: SegmentState,
    },
    /// The job is durable and will be answered.
    Accepted {
        /// The request.
        waiter: RequestId,
        /// The job.
        job: JobId,
    },
    /// The job was not accepted.
    Refuse {
        /// The request.
        waiter: RequestId,
        /// Why; `unknown` if it may have become durable all the same.
        refusal: Refusal,
    },
    /// Send [`SubmitEvent::Tick`] at this time. It replaces any earlier timer.
    SetTimer(Time),
}

#[derive(Debug)]
struct Batch {
    segment: Segment,
    waiters: Vec<RequestId>,
    written: WallTime,
    bytes: usize,
    first: Time,
    // Whether the state is durable; the segment is written after it.
    has_state: bool,
    // Whether a write of the segment has been sent. Without a segment no job of it ever runs.
    may_exist: bool,
    tried: Option<Time>,
}

impl Batch {
    fn new(first: Time, written: WallTime) -> Self {
        let segment = Segment { jobs: Vec::new() };
        Self {
            segment,
            waiters: Vec::new(),
            written,
            bytes: 0,
            first,
            has_state: false,
            may_exist: false,
            tried: None,
        }
    }
}

/// Groups jobs into segments, and acknowledges each one once the state of its segment and then the segment are durable.
/// The state comes first, so that no segment is ever without one.
///
/// A name is used by one incarnation for one content only, so that a conflict means that an earlier try of the same
/// write took effect.
#[derive(Debug)]
pub struct JobSubmitter {
    me: ProcessId,
    limits: JobLimits,
    open: Option<Batch>,
    // Invariant: the segments that are being written; `open` is not among them.
    writing: BTreeMap<u64, Batch>,
    // The segment of each write that has not been answered.
    puts: BTreeMap<u64, u64>,
    // Invariant: the sum over `open` and `writing`, at most `limits.pending_bytes`.
    bytes: usize,
    is_down: bool,
    segments: u64,
    seq: u64,
}

impl JobSubmitter {
    /// A submitter without jobs.
    #[must_use]
    pub const fn new(me: ProcessId, limits: JobLimits) -> Self {
        Self {
            me,
            limits,
            open: None,
            writing: BTreeMap::new(),
            puts: BTreeMap::new(),
            bytes: 0,
            is_down: false,
            segments: 0,
            seq: 0,
        }
    }

    /// Bytes of jobs that wait to be durable.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: SubmitEvent, out: &mut Vec<SubmitAction>) {
        match event {
            SubmitEvent::Submit { waiter, job, wall } => self.submit(now, waiter, job, wall, out),
            SubmitEvent::Put { seq, result } => self.put_done(now, seq, result, out),
            SubmitEvent::Tick => {}
        }
        self.close_full(now, out);
        self.retry(now, out);
        self.arm(now, out);
    }

    fn submit(
        &mut self,
        now: Time,
        waiter: RequestId,
        job: JobSpec,
        wall: WallTime,
        out: &mut Vec<SubmitAction>,
    ) {
        let bytes = serde_json::to_string(&job).map_or(usize::MAX, |it| it.len());
        let full = self.bytes.saturating_add(bytes) > self.limits.pending_bytes;
        if bytes > self.limits.object_bytes || full {
            let refusal = Refusal::not_run(RefusalReason::MemoryBound);
            out.push(SubmitAction::Refuse { waiter, refusal });
            return;
        }
        // While the platform is down, the writes under way tell when it is back.
        if self.is_down && !self.writing.is_empty() {
            let refusal = Refusal::not_run(RefusalReason::PlatformDown);
            let refusal = refusal.retry_after(self.limits.retry);
            out.push(SubmitAction::Refuse { waiter, refusal });
            return;
        }
        if self.open.as_ref().is_some_and(|it| it.bytes + bytes > self.limits.object_bytes) {
            self.close(now, out);
        }
        let batch = self.open.get_or_insert_with(|| Batch::new(now, wall));
        batch.segment.jobs.push(job);
        batch.waiters.push(waiter);
        batch.bytes += bytes;
        self.bytes += bytes;
    }

    fn close_full(&mut self, now: Time, out: &mut Vec<SubmitAction>) {
        if self.open.as_ref().is_some_and(|it| it.first + self.limits.window <= now) {
            self.close(now, out);
        }
    }

    fn close(&mut self, now: Time, out: &mut Vec<SubmitAction>) {
        let Some(mut batch) = self.open.take() else { return };
        self.segments += 1;
        batch.first = now;
        self.writing.insert(self.segments, batch);
        self.retry(now, out);
    }

    fn id(&self, seq: u64) -> SegmentId {
        SegmentId { writer: self.me.clone(), seq }
    }

    /// Sends the writes again that have not taken effect, and gives up those that were tried for too long.
    fn retry(&mut self, now: Time, out: &mut Vec<SubmitAction>) {
        let (retry, give_up) = (self.limits.retry, self.limits.give_up);
        let due = |it: &Batch| it.tried.is_none_or(|at| at + retry <= now);
        let segments: Vec<u64> =
            self.writing.iter().filter(|(_, it)| due(it)).map(|(at, _)| *at).collect();
        for segment in segments {
            match self.writing.get(&segment) {
                Some(it) if it.first + give_up <= now => self.give_up(segment, out),
                _ => self.write(now, segment, out),
            }
        }
    }

    fn write(&mut self, now: Time, segment: u64, out: &mut Vec<SubmitAction>) {
        let id = self.id(segment);
        let Some(batch) = self.writing.get_mut(&segment) else { return };
        batch.tried = Some(now);
        self.seq += 1;
        let seq = self.seq;
        self.puts.insert(seq, segment);
        if batch.has_state {
            batch.may_exist = true;
            let segment = batch.segment.clone();
            out.push(SubmitAction::PutSegment { seq, id, segment });
        } else {
            let state = SegmentState::new(batch.written, batch.segment.jobs.len());
            out.push(SubmitAction::PutState { seq, id, state });
        }
    }

    fn put_done(&mut self, now: Time, seq: u64, result: PutResult, out: &mut Vec<SubmitAction>) {
        let Some(segment) = self.puts.remove(&seq) else { return };
        self.is_down = result == PutResult::Unclear;
        if self.is_down {
            self.refuse_open(out);
            return;
        }
        let give_up = self.limits.give_up;
        match self.writing.get_mut(&segment) {
            // A runner may take a segment that comes later than this for one that was given up.
            Some(it) if it.first + give_up <= now => self.give_up(segment, out),
            Some(it) if it.has_state => self.accept(segment, out),
            Some(it) => {
                it.has_state = true;
                self.puts.retain(|_, it| *it != segment);
                self.write(now, segment, out);
            }
            None => {}
        }
    }

    /// Refuses the jobs of which nothing has been written.
    fn refuse_open(&mut self, out: &mut Vec<SubmitAction>) {
        let Some(batch) = self.open.take() else { return };
        self.bytes -= batch.bytes;
        let refusal = Refusal::not_run(RefusalReason::PlatformDown);
        let refusal = refusal.retry_after(self.limits.retry);
        let refuse = |waiter| SubmitAction::Refuse { waiter, refusal };
        out.extend(batch.waiters.into_iter().map(refuse));
    }

    fn accept(&mut self, segment: u64, out: &mut Vec<SubmitAction>) {
        let Some(batch) = self.forget(segment) else { return };
        let id = self.id(segment);
        out.extend((0..).zip(batch.waiters).map(|(index, waiter)| SubmitAction::Accepted {
            waiter,
            job: JobId { segment: id.clone(), index },
        }));
    }

    fn give_up(&mut self, segment: u64, out: &mut Vec<SubmitAction>) {
        let Some(batch) = self.forget(segment) else { return };
        let refusal = if batch.may_exist {
            Refusal::unknown(RefusalReason::PlatformDown)
        } else {
            Refusal::not_run(RefusalReason::PlatformDown).retry_after(self.limits.retry)
        };
        let refuse = |waiter| SubmitAction::Refuse { waiter, refusal };
        out.extend(batch.waiters.into_iter().map(refuse));
    }

    fn forget(&mut self, segment: u64) -> Option<Batch> {
        let batch = self.writing.remove(&segment)?;
        self.bytes -= batch.bytes;
        self.puts.retain(|_, it| *it != segment);
        Some(batch)
    }

    fn arm(&self, now: Time, out: &mut Vec<SubmitAction>) {
        let open = self.open.as_ref().map(|it| it.first + self.limits.window);
        let retry = |it: &Batch| it.tried.map_or(now, |at| at + self.limits.retry);
        let next = self.writing.values().map(retry).chain(open).min();
        out.extend(next.map(SubmitAction::SetTimer));
    }
}
