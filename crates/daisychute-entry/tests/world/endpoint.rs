//! An endpoint that makes a known text for each request.

use std::collections::BTreeMap;

use bytes::Bytes;
use daisychute_agent::core::EndpointReport;
use daisychute_core::{FinishReason, RefusalReason, RequestId, Usage};
use daisychute_proto::{Start, Work};

/// Output tokens of the whole answer to each request.
const TOKENS: u32 = 6;

struct Run {
    start: Start,
    /// Whether the head was reported.
    head: bool,
    /// Tokens of the whole answer made so far, those of earlier runs included.
    made: u32,
    /// Whether the agent still listens.
    joined: bool,
}

/// An endpoint that makes a known text for each request.
#[derive(Default)]
pub(crate) struct Endpoint {
    runs: BTreeMap<RequestId, Run>,
}

/// One token of the answer to a request; some have several bytes.
fn token(id: RequestId, index: u32) -> String {
    format!(" {}é{index}", id.seq)
}

/// The whole answer to a request.
pub(crate) fn text(id: RequestId, _work: &Work) -> String {
    (0..TOKENS).map(|it| token(id, it)).collect()
}

impl Endpoint {
    /// Starts a run. Returns its request.
    pub(crate) fn start(&mut self, start: &Start) -> Option<RequestId> {
        let made = match &start.work {
            Work::Completion(completion) => completion.emitted_tokens,
            Work::Call(_) => 0,
        };
        let run = Run { start: start.clone(), head: false, made, joined: true };
        self.runs.insert(start.id, run);
        Some(start.id)
    }

    /// The agent asks for the rest of an answer.
    pub(crate) fn resume(&mut self, start: &Start, from_tokens: u32) {
        let Some(run) = self.runs.get_mut(&start.id) else {
            let run = Run { start: start.clone(), head: true, made: u32::MAX, joined: true };
            self.runs.insert(start.id, run);
            return;
        };
        let earlier = match &start.work {
            Work::Completion(completion) => completion.emitted_tokens,
            Work::Call(_) => 0,
        };
        run.joined = true;
        run.made = earlier + from_tokens;
    }

    pub(crate) fn abort(&mut self, id: RequestId) {
        self.runs.remove(&id);
    }

    pub(crate) fn stop(&mut self) {
        self.runs.clear();
    }

    /// One run goes on.
    pub(crate) fn step(&mut self, pick: usize) -> Option<(RequestId, u32, EndpointReport)> {
        let (id, run) = self.pick(pick)?;
        let attempt = run.start.attempt;
        if run.made == u32::MAX {
            self.runs.remove(&id);
            return Some((id, attempt, EndpointReport::Broken(RefusalReason::EndpointLost)));
        }
        if !run.head {
            run.head = true;
            return Some((
                id,
                attempt,
                EndpointReport::Head { status: 200, content_type: None, version: None },
            ));
        }
        if run.made < TOKENS {
            let data = Bytes::from(token(id, run.made));
            run.made += 1;
            return Some((id, attempt, EndpointReport::Data { data, tokens: 1 }));
        }
        self.runs.remove(&id);
        let finish = Some(FinishReason::Stop);
        Some((id, attempt, EndpointReport::Finished { finish, usage: Usage::default() }))
    }

    /// The connection of one run breaks; the endpoint forgets the run or can go on with it.
    pub(crate) fn break_one(
        &mut self,
        pick: usize,
        forget: bool,
    ) -> Option<(RequestId, u32, EndpointReport)> {
        let (id, run) = self.pick(pick)?;
        let attempt = run.start.attempt;
        run.joined = false;
        if forget {
            self.runs.remove(&id);
        }
        Some((id, attempt, EndpointReport::Broken(RefusalReason::EndpointLost)))
    }

    fn pick(&mut self, pick: usize) -> Option<(RequestId, &mut Run)> {
        let joined = self.runs.values().filter(|it| it.joined).count();
        let at = pick.checked_rem(joined)?;
        self.runs.iter_mut().filter(|it| it.1.joined).nth(at).map(|(id, run)| (*id, run))
    }
}
