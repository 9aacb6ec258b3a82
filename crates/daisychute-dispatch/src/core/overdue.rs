//! Second attempts of idempotent requests whose endpoint is silent.
//!
//! An endpoint may be cut off, or run a request and lose its response. Until the deadline nothing shows that, and then
//! there is no time left for another endpoint.

use std::time::Duration;

use daisychute_core::Time;

use crate::core::request_state::RequestState;
use crate::{Action, Dispatcher, RequestKey, RequestKind, SendFailure, Task};

/// Multiple of the latency objective after which a response is overdue: under load many are late by less.
const OVERDUE_OBJECTIVE_FACTOR: u32 = 2;
/// Multiple of the predicted time to the first output after which a response is overdue.
const OVERDUE_PREDICTION_FACTOR: u32 = 3;

/// Returns how long after an attempt is sent its response is overdue, so that another endpoint may be tried. `None` if
/// the request must not run twice, if no further attempt is allowed, or if there would be no time for it.
pub(crate) fn overdue_after(
    now: Time,
    state: &RequestState,
    task: &Task,
    predicted: Duration,
) -> Option<Duration> {
    let may_repeat = state.route.kind == RequestKind::Idempotent
        && *task == Task::Run
        && state.counted_attempts + 1 < state.route.max_sends;
    let objective = state.route.objective;
    let overdue_after =
        (objective * OVERDUE_OBJECTIVE_FACTOR).max(predicted * OVERDUE_PREDICTION_FACTOR);
    let in_time = overdue_after + objective <= state.deadline.since(now);
    (may_repeat && in_time).then_some(overdue_after)
}

impl Dispatcher {
    /// Sends a request elsewhere whose response is overdue. It stays where it is if its response has begun, or if it
    /// can't be sent again now: a late response is better than none.
    pub(crate) fn response_overdue(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get(&key) else { return };
        if state.in_flight.is_none() || state.has_output() {
            return;
        }
        if self.may_retry(now, key, SendFailure::TimedOut, actions)
            && self.choose_placement(now, key).is_some()
        {
            self.send_failed(now, key, SendFailure::TimedOut, actions);
        }
    }
}
