//! Requests during a graceful shutdown.

use std::time::Duration;

use daisychute_core::Time;

use crate::core::placement::Placement;
use crate::core::request_state::RequestState;
use crate::fleet::stage_times::LongestStages;
use crate::{Action, Dispatcher, Reason, RequestKey, Task};

/// Time after the request to stop in which clients are still sent to this front, since readiness checks haven't failed
/// often enough yet. Requests that arrive in it are accepted if they probably end in time; later ones have other fronts
/// to go to, and are accepted only if they surely end in time.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_700);
/// Factor on the longest recent times for requests that arrive within the notice period.
const MARGIN: f64 = 1.25;
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
    /// Asked before each send, as waiting for a prefill or for a failed attempt takes time. A stream of which the client
    /// has a part goes on.
    pub(crate) fn end_for_shutdown(
        &mut self,
        now: Time,
        key: RequestKey,
        placement: &Placement,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let Some(state) = self.requests.get(&key) else { return false };
        // What arrived of another response is dropped with its attempt.
        if state.has_output() && state.route.kind.is_stream() {
            return false;
        }
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
        let Some(state) = self.requests.get(&key) else { return };
        let reason = Reason::Stopping;
        actions.push(if state.has_error_response {
            Action::RelayErrorResponse { key }
        } else if state.may_have_run {
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

    /// Returns the longest time that a response may take from now on, at most until the request's deadline, at which it
    /// is ended.
    ///
    /// Within the notice period that is an estimate by others of its route, the output that the request asks for and the
    /// present wait. Later it is the time until the deadline, as well as if no other response ended recently: the
    /// responses that one front sees don't bound how long the next one takes.
    fn time_needed(
        &self,
        now: Time,
        shutdown: Shutdown,
        state: &RequestState,
        placement: &Placement,
    ) -> Duration {
        let time_left = state.deadline.since(now);
        if state.arrived > shutdown.requested_at + NOTICE_PERIOD {
            return time_left;
        }
        let Some(longest) = self.longest_stages(now, state) else { return time_left };
        let prefill = match placement.task {
            Task::Prefill => longest.prefill,
            Task::Run | Task::Decode { .. } => Duration::ZERO,
        };
        let stages = prefill + longest.first_output + longest.output;
        let by_others = stages.mul_f64(MARGIN) + placement.wait();
        let predicted = placement.latency() + longest.output;
        by_others.max(predicted).min(time_left)
    }

    /// Returns the longest times of the stages of requests like this one, those in progress included. `None` if no
    /// response ended recently.
    fn longest_stages(&self, now: Time, state: &RequestState) -> Option<LongestStages> {
        let times = self.stage_times.get(&state.stage_times_key())?;
        let mut longest = times.longest(now, state.max_output())?;
        for other in self.requests.values().filter(|it| it.is_like(state)) {
            match (&other.in_flight, other.output_time(now)) {
                (_, Some(took)) => {
                    longest.include_output(took, other.max_output(), state.max_output());
                }
                (Some(sent), None) if sent.task != Task::Prefill => {
                    longest.include_first_output(now.since(sent.sent_at));
                }
                _ => {}
            }
        }
        Some(longest)
    }

    /// Records the time from the first output of a request that ends. One that ends before tells nothing: its client
    /// may have given it up at once.
    pub(crate) fn record_output_time(&mut self, now: Time, key: RequestKey) {
        let Some(state) = self.requests.get(&key) else { return };
        let Some(took) = state.output_time(now) else { return };
        let (times, max_output) = (state.stage_times_key(), state.max_output());
        self.stage_times.entry(times).or_default().record_output(now, took, max_output);
    }
}
