//! Handling of responses and refusals from agents.

use daisychute_core::{EndpointName, Refusal, RefusalReason, RequestId, Time, Verdict};
use daisychute_link::LinkId;
use daisychute_proto::{Chunk, Credit, End, Head, Refused, Resume};

use super::EntryCore;
use crate::EndpointSelector;
use crate::core::{Action, Request, RequestState, ResponsePart};

impl<C: EndpointSelector> EntryCore<C> {
    /// Returns the request that a frame belongs to, if the frame comes from its current agent and run.
    pub(super) fn current_request(
        &mut self,
        endpoint: &EndpointName,
        id: RequestId,
        attempt: u32,
    ) -> Option<&mut Request> {
        let request = self.requests.get_mut(&id)?;
        let is_current = request.endpoint == *endpoint
            && request.attempt == attempt
            && request.sent_incarnation.is_some();
        is_current.then_some(request)
    }

    pub(super) fn on_head(
        &mut self,
        endpoint: &EndpointName,
        head: Head,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.current_request(endpoint, head.id, head.attempt) else { return };
        request.version = head.version.clone().or(request.version.take());
        request.resume_requested = false;
        let is_first_head = !request.head_sent;
        request.head_sent = true;
        if is_first_head {
            let part = ResponsePart::Head {
                status: head.status,
                content_type: head.content_type,
                version: head.version,
            };
            actions.push(Action::Respond { id: head.id, part });
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
        let max_emitted_bytes = self.cfg.max_emitted_bytes;
        let Some(request) = self.current_request(endpoint, chunk.id, chunk.attempt) else { return };
        if request.state != RequestState::Streaming || chunk.offset > request.received {
            return self.request_missing_data(chunk.id, link, actions);
        }
        let already_received = request.received - chunk.offset;
        if already_received >= chunk.data.len() as u64 {
            return;
        }
        let data = chunk.data.slice(usize::try_from(already_received).unwrap_or(usize::MAX)..);
        let output = request.record_output(data, chunk.tokens, max_emitted_bytes);
        let Some((data, tokens)) = output else { return };
        actions.push(Action::Respond { id: chunk.id, part: ResponsePart::Data { data, tokens } });
    }

    /// Asks the agent once to resend everything after the bytes received so far.
    pub(super) fn request_missing_data(
        &mut self,
        id: RequestId,
        link: LinkId,
        actions: &mut Vec<Action>,
    ) {
        let max_window = self.cfg.window;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !request.resume_requested {
            request.resume_requested = true;
            let window = request.take_window(max_window);
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
        let Some(request) = self.current_request(endpoint, end.id, end.attempt) else { return };
        let (id, received) = (end.id, request.received);
        if request.state != RequestState::Streaming || received != end.length {
            return self.request_missing_data(id, link, actions);
        }
        let rest = std::mem::take(&mut request.split_character);
        actions.push(Action::send(link, Credit { id, received, window }));
        if !rest.is_empty() {
            // The text of the response is no valid UTF-8, or the response is an error of the engine.
            let part = ResponsePart::Data { data: rest, tokens: 0 };
            actions.push(Action::Respond { id, part });
        }
        actions.push(Action::Respond {
            id,
            part: ResponsePart::End { finish: end.finish, usage: end.usage },
        });
        self.retry_budget.record_success();
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
        if self.current_request(endpoint, id, refused.attempt).is_none() {
            return;
        }
        if self.withdrawn && refusal.reason == RefusalReason::Cancelled {
            let refusal = Refusal { reason: RefusalReason::Leaving, ..refusal };
            return self.finish(id, refusal, actions);
        }
        match (refusal.verdict, refusal.reason) {
            (_, RefusalReason::Deadline | RefusalReason::KeyReused | RefusalReason::Cancelled) => {
                self.finish(id, refusal, actions);
            }
            (Verdict::NotRun, _) => self.on_not_run(now, id, refusal, actions),
            (Verdict::Unknown, reason) => self.on_run_lost(now, id, reason, actions),
        }
    }

    /// Handles a refusal by an agent that did not run the request: another agent may run it.
    pub(super) fn on_not_run(
        &mut self,
        now: Time,
        id: RequestId,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        let max_offers = self.cfg.max_offers;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if refusal.reason == RefusalReason::Overloaded {
            request.overload_refusals += 1;
            if request.overload_refusals >= max_offers {
                return self.finish(id, refusal, actions);
            }
        }
        self.retry_elsewhere(now, id, refusal.reason, actions);
    }

    /// Handles a lost run. How far it was executed is unknown.
    pub(super) fn on_run_lost(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.may_have_run = true;
        self.selector.failed(now, &request.endpoint);
        let may_repeat = request.submission.repeatable()
            && (!request.response_started() || request.emitted.is_some());
        if !may_repeat || self.withdrawn {
            return self.finish(id, Refusal::unknown(reason), actions);
        }
        if !self.retry_budget.try_take() {
            return self.finish(id, Refusal::unknown(RefusalReason::RetryBudget), actions);
        }
        self.retry_elsewhere(now, id, reason, actions);
    }

    /// Retries a request on another endpoint, which continues from what the client already received. The caller must
    /// have made sure that the earlier run did nothing or may be repeated.
    pub(super) fn retry_elsewhere(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let max_attempts = self.cfg.max_attempts;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let refusal = Refusal::not_run(reason);
        if request.attempt >= max_attempts {
            return self.finish(id, refusal, actions);
        }
        request.tried.insert(request.endpoint.clone());
        let (submission, tried, previous) =
            (request.submission.clone(), request.tried.clone(), request.endpoint.clone());
        if let Some(agent) = self.agents.get_mut(&previous) {
            agent.requests.remove(&id);
        }
        let Some(endpoint) = self.select_endpoint(now, &submission, &tried) else {
            return self.finish(id, refusal, actions);
        };
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.next_attempt();
        request.endpoint = endpoint;
        self.transition(id, RequestState::Connecting);
        self.dispatch(now, id, actions);
    }

    /// Ends a request with a refusal to the client.
    pub(super) fn finish(
        &mut self,
        id: RequestId,
        mut refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        if self.requests.get(&id).is_some_and(|it| it.may_have_run || it.response_started()) {
            refusal.verdict = Verdict::Unknown;
        }
        let retry_after = refusal.retry_after.unwrap_or(self.cfg.retry_after);
        actions.push(Action::Respond {
            id,
            part: ResponsePart::Refused(refusal.retry_after(retry_after)),
        });
        self.remove(id);
    }
}
