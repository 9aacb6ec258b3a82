//! What the cores ask for.

use super::*;

impl World {
    pub(super) fn submit_action(&mut self, at: usize, action: SubmitAction) {
        let answer = |seq| move |result| Message::Submit(SubmitEvent::Put { seq, result });
        match action {
            SubmitAction::PutSegment { seq, id, segment } => {
                self.put(at, Message::PutSegment { seq, id, segment }, answer(seq));
            }
            SubmitAction::PutState { seq, id: segment, state } => {
                let expect = Version::ABSENT;
                self.put(at, Message::PutState { seq, segment, expect, state }, answer(seq));
            }
            SubmitAction::Accepted { waiter, job } => {
                self.accepted.insert(job, waiter.seq);
            }
            SubmitAction::Refuse { waiter, refusal: Refusal { verdict: Verdict::NotRun, .. } } => {
                self.not_run.insert(waiter.seq);
            }
            SubmitAction::Refuse { .. } => {}
            SubmitAction::SetTimer(time) => {
                let known = self.entries[at].timer;
                if known <= self.now || time < known {
                    self.entries[at].timer = time;
                    let delay = u64::try_from(time.since(self.now).as_millis()).unwrap_or_default();
                    self.post(at, delay + 1, Message::Submit(SubmitEvent::Tick));
                }
            }
        }
    }

    pub(super) fn runner_action(&mut self, at: usize, action: RunnerAction) {
        let answer = |seq| move |result| Message::Run(RunnerEvent::Put { seq, result });
        match action {
            RunnerAction::GetState(segment) => self.get_state(at, &segment),
            RunnerAction::GetSegment(segment) => {
                let lost = self.unreachable();
                let read = if lost { ReadResult::Failed } else { self.segments.get(&segment) };
                self.post(at, 20, Message::Run(RunnerEvent::Segment { segment, read }));
            }
            RunnerAction::PutState { seq, segment, expect, state } => {
                self.put(at, Message::PutState { seq, segment, expect, state }, answer(seq));
            }
            RunnerAction::PutResults { seq, id, object } => {
                self.put(at, Message::PutResults { seq, id, object }, answer(seq));
            }
            RunnerAction::Run { job, spec } => {
                let number: u64 = spec.work.parse().unwrap_or(u64::MAX);
                *self.runs.entry(number).or_default() += 1;
                let delay = self.rng.random_range(100..20_000);
                let body = Arc::from(format!("{number} by {}", self.entries[at].id));
                let event = if self.rng.random_ratio(1, 16) {
                    RunnerEvent::Again { job }
                } else {
                    RunnerEvent::Answered { job, result: JobResult { status: 200, body } }
                };
                self.post(at, delay, Message::Run(event));
            }
            RunnerAction::Cancel { .. } => {}
            RunnerAction::SetTimer(_) => {
                self.post(at, 1_000, Message::Run(RunnerEvent::Tick));
            }
        }
    }

    pub(super) fn keeper_action(&mut self, at: usize, action: KeeperAction) {
        match action {
            KeeperAction::GetState(segment) => self.get_state(at, &segment),
            KeeperAction::PutState { seq, segment, expect, state } => {
                let answer = |result| Message::Keep(KeeperEvent::Put { seq, result });
                self.put(at, Message::PutState { seq, segment, expect, state }, answer);
            }
            KeeperAction::Delete { .. } if self.unreachable() => {}
            KeeperAction::Delete { segment, expect } => {
                self.post(at, 10, Message::Delete { segment, expect });
            }
            KeeperAction::SetTimer(_) => {
                let tick = KeeperEvent::Tick { wall: WallTime::default() };
                self.post(at, 2_000, Message::Keep(tick));
            }
        }
    }
}
