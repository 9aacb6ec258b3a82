//! End of send attempts and requests: retries, refusals, failures and timeouts.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;

use crate::core::request_state::{InFlightAttempt, KvHandle};
use crate::{Action, Dispatcher, Reason, RequestKey, SendFailure, Task};

/// Maximum number of retries of a request of which no byte was sent so far.
const MAX_UNSENT_RETRIES: u32 = 3;
/// An endpoint that had a request for this multiple of the latency objective without an output counts as unresponsive.
const SILENCE_OBJECTIVE_FACTOR: u32 = 3;

impl Dispatcher {
    pub(crate) fn send_failed(
        &mut self,
        now: Time,
        key: RequestKey,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        let Some(sent) = state.in_flight.take() else { return };
        let counted = failure != SendFailure::Unsent;
        if counted {
            state.counted_attempts += 1;
        } else {
            state.unsent_attempts += 1;
        }
        let may_have_run = !matches!(failure, SendFailure::Unsent | SendFailure::NotRun { .. });
        state.has_error_response = failure == SendFailure::ServerError;
        let prefill_only = sent.task == Task::Prefill;
        state.may_have_run |= may_have_run && !prefill_only;
        let ran = matches!(
            failure,
            SendFailure::ServerError | SendFailure::MidAnswer { .. } | SendFailure::Unresumable
        );
        if ran && !state.route.kind.is_stream() {
            state.record_begin(sent.sent_at, actions);
        }
        // It isn't known whether the KV cache was fetched: the next attempt prefills the prompt again.
        let handle_spent = counted && matches!(sent.task, Task::Decode { .. });
        if let Some(KvHandle { endpoint, address, handle, .. }) =
            state.kv_handle.take_if(|_| handle_spent)
        {
            actions.push(Action::ReleaseKvCache { endpoint, address, handle });
        }
        self.remove_in_flight(key, &sent);
        self.record_failure(now, &sent, failure, actions);
        self.record_endpoint_end(now, key, &sent, failure, actions);
        self.retry_or_end(now, key, failure, actions);
    }

    fn record_failure(
        &mut self,
        now: Time,
        sent: &InFlightAttempt,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let Some(tracked) = self.fleet.tracked_mut(sent.endpoint) else { return };
        match failure {
            SendFailure::Unsent => tracked.health.record_severe_failure(now),
            SendFailure::NotRun { misdirected: true } => {
                if let Some(hold) = tracked.misdirection.record_refusal(now) {
                    let endpoint = tracked.endpoint.name.clone();
                    actions.push(Action::RecordMisdirection { endpoint, hold });
                }
            }
            SendFailure::NotRun { misdirected: false } => {}
            // An endpoint that asks for a pause isn't at fault, even if it doesn't say whether it ran the request.
            SendFailure::NoAnswer | SendFailure::Unusable if tracked.notice.is_paused(now) => {}
            SendFailure::NoAnswer
            | SendFailure::Unusable
            | SendFailure::MidAnswer { .. }
            | SendFailure::Unresumable
            | SendFailure::ServerError
            | SendFailure::TimedOut => {
                tracked.health.record_failure(now);
            }
        }
    }

    fn retry_or_end(
        &mut self,
        now: Time,
        key: RequestKey,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) {
        let reason = match failure {
            SendFailure::Unsent => Reason::Unreachable,
            SendFailure::NotRun { .. } => Reason::Rejected,
            SendFailure::NoAnswer
            | SendFailure::Unusable
            | SendFailure::MidAnswer { .. }
            | SendFailure::Unresumable
            | SendFailure::ServerError
            | SendFailure::TimedOut => Reason::Broken,
        };
        if self.may_retry(now, key, failure, actions) {
            self.place(now, key, reason, actions);
        } else {
            self.end_after_failure(key, failure, reason, actions);
        }
    }

    /// Whether the request may be sent again: in time, without the risk of a second run, and within limit and budget.
    pub(crate) fn may_retry(
        &mut self,
        now: Time,
        key: RequestKey,
        failure: SendFailure,
        actions: &mut Vec<Action>,
    ) -> bool {
        let fronts = self.fronts_if_known();
        let Some(state) = self.requests.get(&key) else { return false };
        if now >= state.deadline {
            return false;
        }
        // Only streams can go on after the part that the client has.
        let is_resumable = match failure {
            SendFailure::MidAnswer { head_passed: true } => state.route.kind.is_stream(),
            SendFailure::Unresumable => false,
            _ => true,
        };
        if !is_resumable {
            return false;
        }
        if failure == SendFailure::Unsent && state.counted_attempts == 0 {
            return state.unsent_attempts <= MAX_UNSENT_RETRIES;
        }
        let safe_to_repeat = !state.may_have_run || state.route.kind.repeatable();
        if !safe_to_repeat || state.counted_attempts >= state.route.max_sends {
            return false;
        }
        let (service, request) = (state.service.clone(), Arc::clone(&state.request.id));
        let budget = self.budget(&service).usage(now, fronts);
        if !budget.allows_another() {
            actions.push(Action::RecordRetryDenied { request, service, budget, fronts });
        }
        budget.allows_another()
    }

    /// Ends a request that isn't retried; an error response of the endpoint is passed on.
    fn end_after_failure(
        &mut self,
        key: RequestKey,
        failure: SendFailure,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        if failure == SendFailure::ServerError {
            actions.push(Action::RelayErrorResponse { key });
            self.end(key, actions);
            return;
        }
        self.fail_or_refuse(key, reason, actions);
    }

    /// Refuses a request whose latency objective can't be met at the current load.
    pub(crate) fn refuse(
        &mut self,
        key: RequestKey,
        cost: Duration,
        wait: Duration,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let retry_after = Some(retry_after);
        let reason = Reason::Overload;
        actions.push(Action::Refuse { key, reason, cost, wait, retry_after });
        self.end(key, actions);
    }

    /// Ends a request: fails it if it may have run, else refuses it.
    pub(crate) fn fail_or_refuse(
        &mut self,
        key: RequestKey,
        reason: Reason,
        actions: &mut Vec<Action>,
    ) {
        self.fail_or_refuse_for(key, reason, Self::DEFAULT_RETRY_AFTER, actions);
    }

    /// Ends a request: fails it if it may have run, else refuses it for a time.
    pub(crate) fn fail_or_refuse_for(
        &mut self,
        key: RequestKey,
        reason: Reason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&key) else { return };
        if state.may_have_run {
            actions.push(Action::Fail { key, reason });
        } else {
            let retry_after = Some(retry_after);
            actions.push(Action::refuse_without_prediction(key, reason, retry_after));
        }
        self.end(key, actions);
    }

    pub(crate) fn finished(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        self.record_output_time(now, key);
        self.record_sound_request(now, key, actions);
        self.record_response_size(now, key);
        if let Some(state) = self.requests.get(&key)
            && let Some(sent) = &state.in_flight
        {
            let slot_time = sent.ended_at.unwrap_or(now).since(sent.sent_at);
            if let Some(tracked) = self.fleet.tracked_mut(sent.endpoint) {
                tracked.record_success();
            }
            if let Some(model) = self.cost_models.get_mut(&state.service) {
                model.learn_slot_time(slot_time);
            }
        }
        self.end(key, actions);
    }

    /// Ends a request whose client disconnected.
    pub(crate) fn client_disconnected(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        self.record_unresponsive(now, key);
        self.record_output_time(now, key);
        self.end(key, actions);
    }

    /// Counts a failure at the endpoint of a request, if it has had the request for too long without an output. Time at
    /// other endpoints before doesn't count.
    fn record_unresponsive(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key).filter(|it| !it.has_output()) else { return };
        let limit = state.route.objective * SILENCE_OBJECTIVE_FACTOR;
        let silent = state.in_flight.as_ref().filter(|it| now.since(it.sent_at) > limit);
        let endpoint = silent.map(|it| it.endpoint);
        if let Some(tracked) = endpoint.and_then(|it| self.fleet.tracked_mut(it)) {
            tracked.health.record_failure(now);
        }
    }

    pub(crate) fn expired(&mut self, now: Time, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        let running = state.in_flight.as_ref().is_some_and(|it| it.task != Task::Prefill);
        state.may_have_run |= running;
        self.record_unresponsive(now, key);
        self.record_endless(now, key);
        self.record_output_time(now, key);
        self.fail_or_refuse(key, Reason::Deadline, actions);
    }

    /// Removes a request, and releases its place at the endpoint and its KV cache.
    pub(crate) fn end(&mut self, key: RequestKey, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.remove(&key) else { return };
        self.fairness.record_end(&state);
        if let Some(sent) = &state.in_flight {
            self.remove_in_flight(key, sent);
        }
        if let Some(KvHandle { endpoint, address, handle, .. }) = state.kv_handle {
            actions.push(Action::ReleaseKvCache { endpoint, address, handle });
        }
    }
}
