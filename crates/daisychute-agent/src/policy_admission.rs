//! Connects the agent to the admission controller of the policy crate.

use std::collections::VecDeque;

use daisychute_core::{EndpointKind, LoadReport, Refusal, RequestId, Role, Time};
use daisychute_policy::{AdmissionController, AdmissionRequest, Decision, Limits, RequestPhase};
use daisychute_proto::{Start, Work};

use crate::AdmissionPolicy;

/// Average bytes of text per token, to estimate the prompt length before the engine reports it.
const BYTES_PER_TOKEN: usize = 4;

/// The [`AdmissionPolicy`] that uses [`AdmissionController`].
#[derive(Debug, Clone)]
pub struct PolicyAdmission {
    admission: AdmissionController,
    /// Requests that were admitted on arrival and not yet returned by `next`.
    ready: VecDeque<RequestId>,
    /// Refusals that `next_refusal` has not returned yet.
    refused: Vec<(RequestId, Refusal)>,
    next_tick: Time,
}

impl PolicyAdmission {
    /// A controller with the default limits for this kind of endpoint.
    #[must_use]
    pub fn new(kind: &EndpointKind) -> Self {
        let limits = match kind {
            EndpointKind::Engine => Limits::engine(Role::Mixed),
            EndpointKind::Service(_) => Limits::service(),
        };
        Self {
            admission: AdmissionController::new(limits),
            ready: VecDeque::new(),
            refused: Vec::new(),
            next_tick: Time::ZERO,
        }
    }
}

impl AdmissionPolicy for PolicyAdmission {
    fn submit(&mut self, now: Time, start: &Start) -> Result<(), Refusal> {
        match self.admission.submit(now, admission_request(now, start)) {
            Decision::Admitted => self.ready.push_back(start.id),
            Decision::Queued => {}
            Decision::Refused(refusal) => return Err(refusal),
        }
        Ok(())
    }

    fn next(&mut self, now: Time) -> Option<RequestId> {
        self.ready.pop_front().or_else(|| self.admission.next(now))
    }

    fn next_refusal(&mut self, now: Time) -> Option<(RequestId, Refusal)> {
        if now >= self.next_tick {
            self.next_tick = now + AdmissionController::TICK;
            self.admission.expire(now, &mut self.refused);
        }
        self.refused.pop()
    }

    fn withdraw(&mut self, _now: Time, id: RequestId) {
        self.ready.retain(|it| *it != id);
        self.admission.cancelled(id);
    }

    fn progress(&mut self, now: Time, id: RequestId, first: bool) {
        if first {
            self.admission.first_token(now, id, 0);
        } else {
            self.admission.token(now, id);
        }
    }

    fn ended(&mut self, now: Time, id: RequestId, completed: bool) {
        if completed {
            self.admission.finished(now, id);
        } else {
            self.admission.cancelled(id);
        }
    }

    fn load(&self, now: Time) -> LoadReport {
        self.admission.load_report(now)
    }

    fn wake_at(&self) -> Option<Time> {
        (self.admission.queued() > 0).then_some(self.next_tick)
    }

    fn endpoint_replaced(&mut self, role: Option<Role>) {
        if let Some(role) = role {
            self.admission.set_limits(Limits::engine(role));
        }
        self.admission.reset_cost();
    }
}

fn admission_request(now: Time, start: &Start) -> AdmissionRequest {
    let request = AdmissionRequest::new(start.id, start.tenant.clone(), start.class.clone())
        .precedence(start.precedence)
        .deadline(now + start.deadline)
        .first_token(start.first_token.map(|it| now + it))
        .between_tokens(start.between_tokens);
    match &start.work {
        Work::Completion(completion) => {
            let bytes = completion.prompt.text().len() + completion.emitted.len();
            let prompt_tokens = u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
            request.prompt_tokens(prompt_tokens).max_tokens(completion.max_tokens)
        }
        Work::Call(_) => request.phase(RequestPhase::Call),
    }
}
