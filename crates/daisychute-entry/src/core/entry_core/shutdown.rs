//! Handling of requests that may not end before the process does.

use daisychute_core::{Refusal, RefusalReason, RequestId, Time};

use super::EntryCore;
use crate::EndpointSelector;
use crate::core::{Action, RequestState};

impl<C: EndpointSelector> EntryCore<C> {
    /// Whether open requests are no longer waited for.
    pub(super) fn is_past_shutdown(&self, now: Time) -> bool {
        self.shutdown_deadline.is_some_and(|it| it <= now)
    }

    /// Refuses a request that has not run and may not end before the process does, and returns whether it was refused.
    /// What bounds a request is its own deadline.
    pub(super) fn refuse_for_shutdown(
        &mut self,
        now: Time,
        id: RequestId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(shutdown) = self.shutdown_deadline else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let fits = now < shutdown && request.arrived_at + request.submission.deadline <= shutdown;
        if fits || request.may_have_run || request.response_started() {
            return false;
        }
        self.finish(id, Refusal::not_run(RefusalReason::Leaving), actions);
        true
    }

    /// Ends all open requests at the end of a shutdown. Those without a response are cancelled first: their agents know
    /// which of them have not run.
    pub(super) fn withdraw_requests(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.withdrawn = true;
        // Newest first: a cancelled run makes room at its agent, and an older request that is queued there would start.
        let open: Vec<RequestId> = self.requests.keys().rev().copied().collect();
        for id in open {
            let Some(request) = self.requests.get(&id) else { continue };
            self.cancel_at_agent(id, actions);
            if request.state == RequestState::Connecting {
                self.finish(id, Refusal::not_run(RefusalReason::Leaving), actions);
            } else if request.may_have_run || request.response_started() {
                self.finish(id, Refusal::unknown(RefusalReason::Leaving), actions);
            } else {
                self.set_timer(id, now + self.cfg.withdrawal_timeout);
            }
        }
    }
}
