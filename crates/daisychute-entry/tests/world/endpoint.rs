//! A simulated endpoint that generates a deterministic text for each request.

use std::collections::BTreeMap;

use bytes::Bytes;
use daisychute_agent::core::EndpointReport;
use daisychute_core::{FinishReason, RefusalReason, RequestId, Usage};
use daisychute_proto::{Start, Work};

/// Output tokens of the complete response to each request.
const OUTPUT_TOKENS: u32 = 6;

struct Run {
    start: Start,
    /// Whether the response head was reported to the agent.
    head_reported: bool,
    /// Tokens of the response generated so far, including those of earlier runs; `u32::MAX` if the run is unknown here
    /// and must fail.
    tokens_made: u32,
    /// Whether the agent still receives the output of the run.
    agent_attached: bool,
}

/// A simulated endpoint with its active runs.
#[derive(Default)]
pub(crate) struct Endpoint {
    runs: BTreeMap<RequestId, Run>,
}

/// One token of the response to a request. It contains a character of two bytes.
fn token(id: RequestId, index: u32) -> String {
    format!(" {}é{index}", id.seq)
}

/// The complete response to a request.
pub(crate) fn text(id: RequestId, _work: &Work) -> String {
    (0..OUTPUT_TOKENS).map(|it| token(id, it)).collect()
}

impl Endpoint {
    /// Starts a run. Returns the id of its request.
    pub(crate) fn start(&mut self, start: &Start) -> Option<RequestId> {
        let tokens_made = match &start.work {
            Work::Completion(completion) => completion.emitted_tokens,
            Work::Call(_) => 0,
        };
        let run =
            Run { start: start.clone(), head_reported: false, tokens_made, agent_attached: true };
        self.runs.insert(start.id, run);
        Some(start.id)
    }

    /// Resumes the output of a run from a token, as requested by the agent.
    pub(crate) fn resume(&mut self, start: &Start, from_tokens: u32) {
        let Some(run) = self.runs.get_mut(&start.id) else {
            let run = Run {
                start: start.clone(),
                head_reported: true,
                tokens_made: u32::MAX,
                agent_attached: true,
            };
            self.runs.insert(start.id, run);
            return;
        };
        let tokens_of_earlier_runs = match &start.work {
            Work::Completion(completion) => completion.emitted_tokens,
            Work::Call(_) => 0,
        };
        run.agent_attached = true;
        run.tokens_made = tokens_of_earlier_runs + from_tokens;
    }

    pub(crate) fn abort(&mut self, id: RequestId) {
        self.runs.remove(&id);
    }

    pub(crate) fn stop(&mut self) {
        self.runs.clear();
    }

    /// Advances one attached run, which `pick` selects. Returns its request, attempt and report.
    pub(crate) fn step(&mut self, pick: usize) -> Option<(RequestId, u32, EndpointReport)> {
        let (id, run) = self.pick(pick)?;
        let attempt = run.start.attempt;
        if run.tokens_made == u32::MAX {
            self.runs.remove(&id);
            return Some((id, attempt, EndpointReport::Broken(RefusalReason::EndpointLost)));
        }
        if !run.head_reported {
            run.head_reported = true;
            return Some((
                id,
                attempt,
                EndpointReport::Head { status: 200, content_type: None, version: None },
            ));
        }
        if run.tokens_made < OUTPUT_TOKENS {
            let data = Bytes::from(token(id, run.tokens_made));
            run.tokens_made += 1;
            return Some((id, attempt, EndpointReport::Data { data, tokens: 1 }));
        }
        self.runs.remove(&id);
        let finish = Some(FinishReason::Stop);
        Some((id, attempt, EndpointReport::Finished { finish, usage: Usage::default() }))
    }

    /// Breaks the connection between the agent and one run. If `forget` is set, the run can't be resumed.
    pub(crate) fn break_one(
        &mut self,
        pick: usize,
        forget: bool,
    ) -> Option<(RequestId, u32, EndpointReport)> {
        let (id, run) = self.pick(pick)?;
        let attempt = run.start.attempt;
        run.agent_attached = false;
        if forget {
            self.runs.remove(&id);
        }
        Some((id, attempt, EndpointReport::Broken(RefusalReason::EndpointLost)))
    }

    fn pick(&mut self, pick: usize) -> Option<(RequestId, &mut Run)> {
        let attached_runs = self.runs.values().filter(|it| it.agent_attached).count();
        let at = pick.checked_rem(attached_runs)?;
        self.runs.iter_mut().filter(|it| it.1.agent_attached).nth(at).map(|(id, run)| (*id, run))
    }
}
