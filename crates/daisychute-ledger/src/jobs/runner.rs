//! Claiming segments and running their jobs.

use std::collections::BTreeMap;

use daisychute_core::Time;

use super::claim::{Claim, SentState};
use super::id::SegmentId;
use super::limits::JobLimits;
use super::object::{JobResult, Segment, SegmentState};
use super::runner_event::{RunnerAction, RunnerEvent};
use crate::{JobId, ProcessId, PutResult, ReadResult, Stored, Version};

#[derive(Debug)]
enum Write {
    Claim(SegmentId),
    State(SegmentId),
    Results(SegmentId),
}

#[derive(Debug)]
struct Unclaimed {
    version: Version,
    state: SegmentState,
    since: Time,
}

/// Claims segments, runs their jobs and publishes the results. Lives in an entry.
///
/// Every write of a segment's state names the version that it replaces, so that a runner that lost its claim publishes
/// nothing. A job may run again after its runner was lost; its result is published once.
#[derive(Debug)]
pub struct JobRunner {
    me: ProcessId,
    limits: JobLimits,
    capacity: usize,
    // Invariant: no segment is in both maps.
    unclaimed: BTreeMap<SegmentId, Unclaimed>,
    claims: BTreeMap<SegmentId, Claim>,
    puts: BTreeMap<u64, Write>,
    claiming: BTreeMap<SegmentId, (Time, SegmentState)>,
    seq: u64,
}

impl JobRunner {
    /// A runner without claims and without capacity.
    #[must_use]
    pub const fn new(me: ProcessId, limits: JobLimits) -> Self {
        Self {
            me,
            limits,
            capacity: 0,
            unclaimed: BTreeMap::new(),
            claims: BTreeMap::new(),
            puts: BTreeMap::new(),
            claiming: BTreeMap::new(),
            seq: 0,
        }
    }

    /// How many segments it has claimed.
    #[must_use]
    pub fn claims(&self) -> usize {
        self.claims.len()
    }

    /// Whether it knows of no open segment.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.unclaimed.is_empty()
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: RunnerEvent, out: &mut Vec<RunnerAction>) {
        match event {
            RunnerEvent::Tick => self.tick(now, out),
            RunnerEvent::Capacity(jobs) => self.capacity = jobs,
            RunnerEvent::State { segment, read } => self.state_read(now, segment, read, out),
            RunnerEvent::Segment { segment, read } => self.segment_read(now, &segment, read),
            RunnerEvent::Put { seq, result } => self.put_done(now, seq, result, out),
            RunnerEvent::Answered { job, result } => self.answered(now, &job, result),
            RunnerEvent::Again { job } => {
                let at = now + self.limits.retry;
                if let Some(it) = self.claims.get_mut(&job.segment) {
                    it.again(at, job.index);
                }
            }
        }
        self.claim_more(now, out);
        self.start_jobs(now, out);
        self.publish(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<RunnerAction>) {
        let retry = self.limits.retry;
        self.claiming.retain(|_, (sent, _)| now < *sent + retry);
        for claim in self.claims.values_mut() {
            if claim.specs.is_none() {
                out.push(RunnerAction::GetSegment(claim.id.clone()));
            }
            if claim.sent.take_if(|it| it.at + retry <= now).is_some() {
                out.push(RunnerAction::GetState(claim.id.clone()));
            }
        }
        out.push(RunnerAction::SetTimer(now + retry));
    }

    fn state_read(
        &mut self,
        now: Time,
        segment: SegmentId,
        read: ReadResult<SegmentState>,
        out: &mut Vec<RunnerAction>,
    ) {
        let Stored { version, body: state, .. } = match read {
            ReadResult::Failed => return,
            ReadResult::Absent => return self.forget(&segment, out),
            ReadResult::Found(it) => it,
        };
        let mine = state.claimer.as_ref() == Some(&self.me);
        let known = self.known(&segment);
        match self.claims.get_mut(&segment) {
            Some(it) if version < it.version => {}
            Some(it) if mine && state.epoch == it.state.epoch => {
                it.sent = None;
                it.refresh(now, version, state);
                self.finish(&segment);
            }
            Some(_) => {
                self.forget(&segment, out);
                self.note(now, segment, version, state);
            }
            None if mine && state.is_open() && version > known => {
                self.begin(now, segment, version, state, out);
            }
            None => self.note(now, segment, version, state),
        }
    }

    fn note(&mut self, now: Time, segment: SegmentId, version: Version, state: SegmentState) {
        if !state.is_open() {
            self.unclaimed.remove(&segment);
        } else if version > self.known(&segment) {
            self.unclaimed.insert(segment, Unclaimed { version, state, since: now });
        }
    }

    fn known(&self, segment: &SegmentId) -> Version {
        self.unclaimed.get(segment).map_or(Version::ABSENT, |it| it.version)
    }

    fn forget(&mut self, segment: &SegmentId, out: &mut Vec<RunnerAction>) {
        self.unclaimed.remove(segment);
        let Some(claim) = self.claims.remove(segment) else { return };
        let running = claim.running().iter().map(|it| claim.job(*it));
        out.extend(running.map(|job| RunnerAction::Cancel { job }));
    }

    fn begin(
        &mut self,
        now: Time,
        segment: SegmentId,
        version: Version,
        state: SegmentState,
        out: &mut Vec<RunnerAction>,
    ) {
        self.unclaimed.remove(&segment);
        self.claiming.remove(&segment);
        out.push(RunnerAction::GetSegment(segment.clone()));
        self.claims.insert(segment.clone(), Claim::new(now, segment, version, state));
    }

    fn segment_read(&mut self, now: Time, segment: &SegmentId, read: ReadResult<Segment>) {
        let Some(claim) = self.claims.get_mut(segment) else { return };
        match read {
            ReadResult::Found(it) => {
                claim.specs.get_or_insert(it.body.jobs);
            }
            ReadResult::Absent => claim.segment_absent(now, &self.limits),
            ReadResult::Failed => {}
        }
    }

    fn answered(&mut self, now: Time, job: &JobId, result: JobResult) {
        if let Some(it) = self.claims.get_mut(&job.segment) {
            it.answered(now, job.index, result);
        }
    }

    fn put_done(&mut self, now: Time, seq: u64, result: PutResult, out: &mut Vec<RunnerAction>) {
        match (self.puts.remove(&seq), result) {
            (None, _) => {}
            // An earlier try of the same write took effect where the name exists.
            (Some(Write::Results(it)), PutResult::Done(_) | PutResult::Conflict) => {
                if let Some(claim) = self.claims.get_mut(&it) {
                    claim.results_written();
                }
            }
            (Some(Write::Results(_)), PutResult::Unclear) => {}
            (Some(Write::Claim(it)), PutResult::Done(version)) => match self.claiming.remove(&it) {
                Some((_, state)) => self.begin(now, it, version, state, out),
                None => out.push(RunnerAction::GetState(it)),
            },
            (Some(Write::Claim(it)), _) => out.push(RunnerAction::GetState(it)),
            (Some(Write::State(it)), PutResult::Done(version)) => {
                self.state_written(now, seq, &it, version, out);
            }
            (Some(Write::State(it)), _) => out.push(RunnerAction::GetState(it)),
        }
    }

    fn state_written(
        &mut self,
        now: Time,
        seq: u64,
        segment: &SegmentId,
        version: Version,
        out: &mut Vec<RunnerAction>,
    ) {
        let Some(claim) = self.claims.get_mut(segment) else { return };
        match claim.sent.take_if(|it| it.seq == seq) {
            Some(it) => claim.refresh(now, version, it.state),
            None => out.push(RunnerAction::GetState(segment.clone())),
        }
        self.finish(segment);
    }

    /// Forgets a claim whose jobs are all answered.
    fn finish(&mut self, segment: &SegmentId) {
        if self.claims.get(segment).is_some_and(|it| !it.state.is_open()) {
            self.claims.remove(segment);
        }
    }

    fn claim_more(&mut self, now: Time, out: &mut Vec<RunnerAction>) {
        let waiting: usize = self.claims.values().map(Claim::waiting).sum();
        if waiting + self.running() >= self.capacity || !self.claiming.is_empty() {
            return;
        }
        let lapse = self.limits.claim;
        let free = |it: &Unclaimed| it.state.claimer.is_none() || it.since + lapse <= now;
        let oldest = self.unclaimed.iter().filter(|(_, it)| free(it));
        let Some((segment, it)) = oldest.min_by_key(|(id, it)| (it.state.written, *id)) else {
            return;
        };
        let (segment, expect) = (segment.clone(), it.version);
        let mut state = it.state.clone();
        state.epoch += 1;
        state.claimer = Some(self.me.clone());
        self.seq += 1;
        self.puts.insert(self.seq, Write::Claim(segment.clone()));
        self.claiming.insert(segment.clone(), (now, state.clone()));
        out.push(RunnerAction::PutState { seq: self.seq, segment, expect, state });
    }

    fn running(&self) -> usize {
        self.claims.values().map(|it| it.running().len()).sum()
    }

    fn start_jobs(&mut self, now: Time, out: &mut Vec<RunnerAction>) {
        let mut free = self.capacity.saturating_sub(self.running());
        for claim in self.claims.values_mut() {
            while let Some((job, spec)) = (free > 0).then(|| claim.start_next(now)).flatten() {
                free -= 1;
                out.push(RunnerAction::Run { job, spec });
            }
        }
    }

    fn publish(&mut self, now: Time, out: &mut Vec<RunnerAction>) {
        for claim in self.claims.values_mut() {
            self.seq += 1;
            let fresh = claim.take_results(now, self.seq, &self.limits);
            let retry = self.limits.retry;
            if let Some((id, object, sent)) = &mut claim.writing
                && (fresh || *sent + retry <= now)
            {
                *sent = now;
                self.seq += 1;
                self.puts.insert(self.seq, Write::Results(claim.id.clone()));
                let (id, object) = (id.clone(), object.clone());
                out.push(RunnerAction::PutResults { seq: self.seq, id, object });
            }
            if let Some(state) = claim.next_state(now, &self.limits) {
                self.seq += 1;
                self.puts.insert(self.seq, Write::State(claim.id.clone()));
                claim.sent = Some(SentState { seq: self.seq, at: now, state: state.clone() });
                let (segment, expect) = (claim.id.clone(), claim.version);
                out.push(RunnerAction::PutState { seq: self.seq, segment, expect, state });
            }
        }
    }
}
