//! The graceful shutdown of a front.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Interval at which those that wait for a place of a request look for one.
const PLACE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The stage of the shutdown, and counts of what is in flight.
#[derive(Debug, Default)]
pub(crate) struct ShutdownState {
    /// Time at which the requests in flight are ended; `None` before a shutdown is requested.
    deadline: Cell<Option<Time>>,
    accepting_stopped: Cell<bool>,
    accepting_stop: Notify,
    closing: Cell<bool>,
    busy: Cell<usize>,
    busy_streams: Cell<usize>,
    /// Notified when a request has ended.
    request_ended: Notify,
    accepted: Cell<u64>,
    closing_started: Notify,
    exiting: Cell<bool>,
    exit_started: Notify,
}

impl ShutdownState {
    /// Records that a shutdown was requested, and when it ends the requests in flight.
    pub(crate) fn request(&self, deadline: Time) {
        self.deadline.set(Some(deadline));
    }

    pub(crate) fn requested(&self) -> bool {
        self.deadline.get().is_some()
    }

    /// Returns the time until the requests in flight are ended; `None` before a shutdown is requested.
    pub(crate) fn ends_in(&self, now: Time) -> Option<Duration> {
        self.deadline.get().map(|it| it.since(now))
    }

    /// From now on no connections are accepted.
    pub(crate) fn stop_accepting(&self) {
        self.accepting_stopped.set(true);
        self.accepting_stop.notify_waiters();
    }

    /// Waits until no connections may be accepted any more.
    pub(crate) async fn wait_accepting_stopped(&self) {
        if !self.accepting_stopped.get() {
            self.accepting_stop.notified().await;
        }
    }

    /// From now on idle connections are closed.
    pub(crate) fn close_idle(&self) {
        self.closing.set(true);
        self.closing_started.notify_waiters();
    }

    /// Waits until idle connections must be closed.
    pub(crate) async fn wait_closing(&self) {
        if !self.closing.get() {
            self.closing_started.notified().await;
        }
    }

    /// Ends the requests in flight. From now on every request is refused: the process exits.
    pub(crate) fn exit(&self) {
        self.exiting.set(true);
        self.exit_started.notify_waiters();
    }

    /// Whether the process exits.
    pub(crate) fn is_exiting(&self) -> bool {
        self.exiting.get()
    }

    /// Waits until the requests in flight are ended.
    pub(crate) async fn wait_exit(&self) {
        self.exit_started.notified().await;
    }

    pub(crate) fn begin_request(&self, is_stream: bool) {
        self.busy.set(self.busy.get() + 1);
        self.busy_streams.set(self.busy_streams.get() + usize::from(is_stream));
    }

    pub(crate) fn end_request(&self, is_stream: bool) {
        self.busy.set(self.busy.get() - 1);
        self.busy_streams.set(self.busy_streams.get() - usize::from(is_stream));
        self.request_ended.notify_one();
    }

    /// Waits until fewer requests than `limit` are in flight, or the process exits.
    pub(crate) async fn wait_busy_below(&self, limit: usize) {
        while self.busy() >= limit && !self.is_exiting() {
            // Others may have taken the place that was notified.
            let _ = timeout(PLACE_CHECK_INTERVAL, self.request_ended.notified()).await;
        }
    }

    /// Returns the number of streams among the requests in flight.
    pub(crate) fn busy_streams(&self) -> usize {
        self.busy_streams.get()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn busy(&self) -> usize {
        self.busy.get()
    }

    pub(crate) fn record_accept(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// Returns the number of connections accepted since the start.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.get()
    }
}
