//! Admission of requests during a graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;

use crate::core::request_state::RequestState;
use crate::{Action, Dispatcher, Reason, RequestKey};

/// Factor on the longest recent response time of a route, for responses that take longer than all recent ones.
const RESPONSE_TIME_MARGIN: f64 = 1.25;
/// Retry delay of a request that is refused because of the shutdown: the client reaches another front at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

impl Dispatcher {
    /// Refuses a request whose response may not end before the process does. Returns whether it was refused.
    ///
    /// Requests that may have run, or whose prompt is prefilled, go on: they were accepted.
    pub(crate) fn refuse_for_shutdown(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(deadline) = self.shutdown_deadline else { return false };
        let Some(state) = self.requests.get(&key) else { return false };
        let accepted = state.may_have_run || state.kv_handle.is_some();
        if accepted || now + self.longest_response(now, state) <= deadline {
            return false;
        }
        let (reason, retry_after) = (Reason::Stopping, Some(STOPPING_RETRY_AFTER));
        actions.push(Action::refuse_without_prediction(key, reason, retry_after));
        self.end(key, actions);
        true
    }

    /// Returns the longest time that a response may take from now on, by the recent responses of its route. Without
    /// any, this is the time until the request's deadline.
    fn longest_response(&self, now: Time, state: &RequestState) -> Duration {
        let time_left = state.deadline.since(now);
        let recent = self.response_times.get(&state.route.name).and_then(|it| it.longest(now));
        recent.map_or(time_left, |it| it.mul_f64(RESPONSE_TIME_MARGIN).min(time_left))
    }

    /// Records the response time of a request that ends, if its response has started.
    pub(crate) fn record_response_time(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key).filter(|it| it.has_output) else { return };
        let response_time = self.response_times.entry(Arc::clone(&state.route.name)).or_default();
        response_time.record(now, now.since(state.arrived));
    }
}
