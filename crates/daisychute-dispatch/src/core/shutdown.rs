//! Requests during a graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;

use crate::core::placement::Placement;
use crate::core::request_state::{InFlightAttempt, RequestState};
use crate::{Action, Dispatcher, Reason, RequestKey, Task};

/// Time after the request to stop in which clients are still sent to this front, since readiness checks haven't failed
/// often enough yet.
const NOTICE_PERIOD: Duration = Duration::from_secs(3);
/// Factor on the longest recent times for requests that arrive within the notice period.
const MARGIN: f64 = 1.25;
/// Factor on the longest recent times for requests that arrive later, of which none may be cut: a front sees too few
/// responses to know how long the rare ones take.
const LATE_MARGIN: f64 = 2.5;
/// Retry delay of a request that is refused because of the shutdown: the client reaches another front at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Limits that delay while most fronts shut down: they usually exit well before their deadlines.
const MAX_STOPPING_RETRY_AFTER: Duration = Duration::from_millis(1_200);
/// Time from the exit of a front until its successor is ready.
const RESTART_TIME: Duration = Duration::from_millis(500);

/// A shutdown in progress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shutdown {
    pub(crate) requested_at: Time,
    /// Time at which responses in progress are cut.
    pub(crate) deadline: Time,
}

impl Dispatcher {
    /// Ends a request whose response may not end before the process does. Returns whether it was ended.
    ///
    /// Asked before each send, as waiting for a prefill or for a failed attempt takes time. A response of which the
    /// client has a part goes on.
    pub(crate) fn end_for_shutdown(
        &mut self,
        now: Time,
        key: RequestKey,
        placement: &Placement,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let Some(state) = self.requests.get(&key).filter(|it| !it.has_output) else { return false };
        if now + self.time_needed(now, shutdown, state, placement) <= shutdown.deadline {
            return false;
        }
        self.fail_or_refuse_for_shutdown(now, key, actions);
        true
    }

    /// Ends a request that is still open when the process exits.
    pub(crate) fn shutdown_expired(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.requests.get_mut(&key) else { return };
        state.may_have_run |= state.in_flight.as_ref().is_some_and(|it| it.task != Task::Prefill);
        self.fail_or_refuse_for_shutdown(now, key, actions);
    }

    fn fail_or_refuse_for_shutdown(
        &mut self,
        now: Time,
        key: RequestKey,
        actions: &mut Vec<Action>,
    ) {
        let may_have_run = self.requests.get(&key).is_some_and(|it| it.may_have_run);
        let reason = Reason::Stopping;
        actions.push(if may_have_run {
            Action::Fail { key, reason }
        } else {
            Action::refuse_without_prediction(key, reason, Some(self.stopping_retry_after(now)))
        });
        self.end(key, actions);
    }

    /// Records that another front shuts down.
    pub(crate) fn peer_stopping(&mut self, now: Time, peer: u64, exits_in: Duration) {
        self.stopping_peers.retain(|_, exits_at| now < *exits_at + RESTART_TIME);
        self.stopping_peers.insert(peer, now + exits_in);
    }

    /// Returns when a client that is refused because of the shutdown should return.
    ///
    /// Load balancers avoid fronts that aren't ready as long as enough others are. If fewer than half of the fronts are,
    /// the client would likely reach another one that shuts down, so it waits until enough are back.
    fn stopping_retry_after(&self, now: Time) -> Duration {
        let own_exit = self.shutdown.map(|it| it.deadline);
        let exits = self.stopping_peers.values().copied().chain(own_exit);
        let mut returns: Vec<_> =
            exits.map(|it| it + RESTART_TIME).filter(|it| now < *it).collect();
        returns.sort_unstable();
        let missing = if self.stopping_peers.is_empty() {
            0
        } else {
            returns.len().saturating_sub(self.fronts / 2)
        };
        let enough = missing.checked_sub(1).and_then(|it| returns.get(it));
        let wait = enough.map_or(STOPPING_RETRY_AFTER, |it| it.since(now));
        wait.clamp(STOPPING_RETRY_AFTER, MAX_STOPPING_RETRY_AFTER)
    }

    /// Returns the longest time that a response may take from now on: by the recent ones of its route, the output that
    /// the request asks for and the present wait, and at most until the request's deadline, at which it is ended. Without
    /// recent ones, until the deadline.
    fn time_needed(
        &self,
        now: Time,
        shutdown: Shutdown,
        state: &RequestState,
        placement: &Placement,
    ) -> Duration {
        let time_left = state.deadline.since(now);
        let times = self.stage_times.get(&state.route.name);
        let Some((times, run)) =
            times.and_then(|it| Some((it, it.longest_run(now, state.max_output())?)))
        else {
            return time_left;
        };
        let prefill = match placement.task {
            Task::Prefill => times.longest_prefill(now).max(Some(placement.latency())),
            Task::Run | Task::Decode { .. } => None,
        };
        let is_late = state.arrived > shutdown.requested_at + NOTICE_PERIOD;
        let margin = if is_late { LATE_MARGIN } else { MARGIN };
        let stages = (run + prefill.unwrap_or_default()).mul_f64(margin);
        (stages + placement.wait()).min(time_left)
    }

    /// Records the time of the run of a request that ends.
    pub(crate) fn record_run_time(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key) else { return };
        let Some(sent) = state.in_flight.as_ref().filter(|it| it.task != Task::Prefill) else {
            return;
        };
        let (took, max_output) = (now.since(sent.sent_at), state.max_output());
        let name = Arc::clone(&state.route.name);
        self.stage_times.entry(name).or_default().record_run(now, took, max_output);
    }

    /// Records the time of a prefill that ended.
    pub(crate) fn record_prefill_time(
        &mut self,
        now: Time,
        route: &Arc<str>,
        sent: &InFlightAttempt,
    ) {
        let took = now.since(sent.sent_at);
        self.stage_times.entry(Arc::clone(route)).or_default().record_prefill(now, took);
    }
}
