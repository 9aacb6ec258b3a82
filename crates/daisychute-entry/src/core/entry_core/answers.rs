//! What the entry's core does about the answers of agents.

use daisychute_core::{EndpointName, Refusal, RefusalReason, RequestId, Time, Verdict};
use daisychute_link::LinkId;
use daisychute_proto::{Chunk, Credit, End, Head, Refused, Resume};

use super::EntryCore;
use crate::EndpointSelector;
use crate::core::{Action, Part, Request, RequestState};

impl<C: EndpointSelector> EntryCore<C> {
    /// The request that a frame speaks of, if the frame comes from the agent and the run that have it now.
    pub(super) fn current(
        &mut self,
        endpoint: &EndpointName,
        id: RequestId,
        attempt: u32,
    ) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id)?;
        let is_current =
            request.agent == *endpoint && request.attempt == attempt && request.sent_to.is_some();
        is_current.then_some(request)
    }

    pub(super) fn on_head(
        &mut self,
        endpoint: &EndpointName,
        head: Head,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.current(endpoint, head.id, head.attempt) else { return };
        request.version = head.version.clone().or(request.version.take());
        request.resume_asked = false;
        let first = !request.head_given;
        request.head_given = true;
        if first {
            let part = Part::Head {
                status: head.status,
                content_type: head.content_type,
                version: head.version,
            };
            actions.push(Action::Answer { id: head.id, part });
        }
        self.transition(head.id, RequestState::Streaming);
    }

    pub(super) fn on_chunk(
        &mut self,
        endpoint: &EndpointName,
        link: LinkId,
        chunk: &Chunk,
        actions: &mut Vec<Action>,
    ) {
        let most = self.cfg.emitted_bytes;
        let Some(request) = self.current(endpoint, chunk.id, chunk.attempt) else { return };
        if request.state != RequestState::Streaming || chunk.offset > request.received {
            return self.ask_missing(chunk.id, link, actions);
        }
        let known = request.received - chunk.offset;
        if known >= chunk.data.len() as u64 {
            return;
        }
        let data = chunk.data.slice(usize::try_from(known).unwrap_or(usize::MAX)..);
        let tokens = request.emit(&data, chunk.tokens, most);
        actions.push(Action::Answer { id: chunk.id, part: Part::Data { data, tokens } });
    }

    /// Asks once for everything after what is here.
    pub(super) fn ask_missing(&mut self, id: RequestId, link: LinkId, actions: &mut Vec<Action>) {
        let window = self.cfg.window;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.resume_asked {
            request.resume_asked = true;
            let (attempt, offset) = (request.attempt, request.received);
            actions.push(Action::send(link, Resume { id, attempt, offset, window }));
        }
    }

    pub(super) fn on_end(
        &mut self,
        endpoint: &EndpointName,
        link: LinkId,
        end: &End,
        actions: &mut Vec<Action>,
    ) {
        let window = self.cfg.window;
        let Some(request) = self.current(endpoint, end.id, end.attempt) else { return };
        let (id, received) = (end.id, request.received);
        if request.state != RequestState::Streaming || received != end.length {
            return self.ask_missing(id, link, actions);
        }
        actions.push(Action::send(link, Credit { id, received, window }));
        actions
            .push(Action::Answer { id, part: Part::End { finish: end.finish, usage: end.usage } });
        self.budget.success();
        self.selector.succeeded(endpoint);
        self.remove(id);
    }

    pub(super) fn on_refused(
        &mut self,
        now: Time,
        endpoint: &EndpointName,
        refused: &Refused,
        actions: &mut Vec<Action>,
    ) {
        let (id, refusal) = (refused.id, refused.refusal);
        if self.current(endpoint, id, refused.attempt).is_none() {
            return;
        }
        match (refusal.verdict, refusal.reason) {
            (_, RefusalReason::Deadline | RefusalReason::KeyReused | RefusalReason::Cancelled) => {
                self.finish(id, refusal, actions);
            }
            (Verdict::NotRun, _) => self.on_not_run(now, id, refusal, actions),
            (Verdict::Unknown, reason) => self.on_lost(now, id, reason, actions),
        }
    }

    /// The agent has proved that it ran nothing: another one may have it.
    pub(super) fn on_not_run(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let offers = self.cfg.offers;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if refusal.reason == RefusalReason::Overloaded {
            request.overloads += 1;
            if request.overloads >= offers {
                return self.finish(id, refusal, actions);
            }
        }
        self.elsewhere(now, id, refusal.reason, actions);
    }

    /// The run is lost, and nobody knows how far it came.
    pub(super) fn on_lost(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.maybe_ran = true;
        self.selector.failed(now, &request.agent);
        let may_repeat = request.submission.repeatable()
            && (!request.has_emitted() || request.emitted.is_some());
        if !may_repeat {
            return self.finish(id, Refusal::unknown(reason), actions);
        }
        if !self.budget.take() {
            return self.finish(id, Refusal::unknown(RefusalReason::RetryBudget), actions);
        }
        self.elsewhere(now, id, reason, actions);
    }

    /// Runs a request on another endpoint, from what the caller already has. The caller of this method has made sure
    /// that the earlier run did no harm.
    pub(super) fn elsewhere(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let attempts = self.cfg.attempts;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let refusal = Refusal::not_run(reason);
        if request.attempt >= attempts {
            return self.finish(id, refusal, actions);
        }
        request.tried.insert(request.agent.clone());
        let (submission, tried, previous) =
            (request.submission.clone(), request.tried.clone(), request.agent.clone());
        if let Some(agent) = self.agents.get_mut(&previous) {
            agent.requests.remove(&id);
        }
        let Some(agent) = self.choose(now, &submission, &tried) else {
            return self.finish(id, refusal, actions);
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.next_attempt();
        request.agent = agent;
        self.transition(id, RequestState::Connecting);
        self.dispatch(now, id, actions);
    }

    /// Gives the caller its final answer.
    pub(super) fn finish(
        &mut self,
        id: RequestId,
        mut refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.get(&id).is_some_and(|it| it.maybe_ran || it.has_emitted()) {
            refusal.verdict = Verdict::Unknown;
        }
        let retry_after = refusal.retry_after.unwrap_or(self.cfg.retry_after);
        actions.push(Action::Answer { id, part: Part::Refused(refusal.retry_after(retry_after)) });
        self.remove(id);
    }
}
