//! The platform of the model.

use super::*;

impl World {
    pub(super) fn unreachable(&mut self) -> bool {
        self.outage || self.lossy && self.rng.random_ratio(1, 4)
    }

    pub(super) fn get_state(&mut self, at: usize, segment: &SegmentId) {
        let read = if self.unreachable() { ReadResult::Failed } else { self.states.get(segment) };
        self.tell_state(at, segment, &read);
    }

    pub(super) fn tell_state(
        &mut self,
        at: usize,
        segment: &SegmentId,
        read: &ReadResult<SegmentState>,
    ) {
        let (segment, read) = (segment.clone(), read.clone());
        let delay = self.rng.random_range(1..200);
        let event = RunnerEvent::State { segment: segment.clone(), read: read.clone() };
        self.post(at, delay, Message::Run(event));
        self.post(at, delay, Message::Keep(KeeperEvent::State { segment, read }));
    }

    pub(super) fn put(
        &mut self,
        at: usize,
        message: Message,
        answer: impl Fn(PutResult) -> Message,
    ) {
        let result = if self.outage {
            PutResult::Unclear
        } else if self.lossy && self.rng.random_ratio(1, 2) {
            let delay = self.rng.random_range(1..70_000);
            self.post(at, delay, message);
            PutResult::Unclear
        } else {
            let writer = self.entries[at].id.clone();
            self.apply(&writer, message)
        };
        let delay = self.rng.random_range(1..200);
        self.post(at, delay, answer(result));
    }

    pub(super) fn apply(&mut self, writer: &ProcessId, message: Message) -> PutResult {
        match message {
            Message::PutState { seq, segment, expect, state } => {
                let before = self.states.peek(&segment).map(|it| it.body.clone());
                let result = self.states.put(writer, seq, &segment, expect, state);
                if let (PutResult::Done(_), Some(before)) = (result, before) {
                    self.check_change(&segment, &before);
                }
                result
            }
            Message::PutSegment { seq, id, segment } => {
                self.segments.put(writer, seq, &id, Version::ABSENT, segment)
            }
            Message::PutResults { seq, id, object } => {
                self.results.put(writer, seq, &id, Version::ABSENT, object)
            }
            _ => PutResult::Conflict,
        }
    }

    /// A job goes forwards only, and to a result that is there.
    pub(super) fn check_change(&mut self, segment: &SegmentId, before: &SegmentState) {
        let Some(after) = self.states.peek(segment).map(|it| it.body.clone()) else { return };
        for (index, (old, new)) in (0..).zip(before.jobs.iter().zip(&after.jobs)) {
            let job = JobId { segment: segment.clone(), index };
            match (old, new) {
                (JobState::Pending, JobState::Done(id)) => {
                    let object = self.results.peek(id).map(|it| &it.body);
                    if !object.is_some_and(|it| it.results.contains_key(&index)) {
                        self.faults.push(format!("the result of {job} is not in {id}"));
                    }
                }
                (JobState::Pending, JobState::Fetched) if self.accepted.contains_key(&job) => {
                    self.faults.push(format!("{job} was dropped"));
                }
                (JobState::Pending, _) | (JobState::Done(_), JobState::Fetched) => {}
                (old, new) if old == new => {}
                _ => self.faults.push(format!("{job} went from {old:?} to {new:?}")),
            }
        }
    }
}
