//! The graceful stop of a front.

use std::cell::Cell;

use tokio::sync::Notify;

/// Whether a stop was asked for, and what still runs.
#[derive(Debug, Default)]
pub(crate) struct Stop {
    requested: Cell<bool>,
    over: Cell<bool>,
    busy: Cell<usize>,
    accepted: Cell<u64>,
    closing: Notify,
}

impl Stop {
    /// A stop was asked for.
    pub(crate) fn request(&self) {
        self.requested.set(true);
    }

    pub(crate) fn requested(&self) -> bool {
        self.requested.get()
    }

    /// Idle connections are closed from now on.
    pub(crate) fn close_idle(&self) {
        self.over.set(true);
        self.closing.notify_waiters();
    }

    /// Whether nothing new is taken any more.
    pub(crate) fn is_over(&self) -> bool {
        self.over.get()
    }

    /// Waits until idle connections must be closed.
    pub(crate) async fn idle_closed(&self) {
        if !self.over.get() {
            self.closing.notified().await;
        }
    }

    pub(crate) fn begin(&self) {
        self.busy.set(self.busy.get() + 1);
    }

    pub(crate) fn end(&self) {
        self.busy.set(self.busy.get() - 1);
    }

    /// Requests under way.
    pub(crate) fn busy(&self) -> usize {
        self.busy.get()
    }

    pub(crate) fn accept(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// Connections accepted since the start.
    pub(crate) fn accepted(&self) -> u64 {
        self.accepted.get()
    }
}
