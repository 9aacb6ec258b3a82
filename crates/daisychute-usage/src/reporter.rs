//! The holder's state machine.

use daisychute_core::Time;

use crate::{ReporterAction, ReporterEvent, UnixTime, UsageSettings, WindowId};

/// Decides when windows are frozen and reported.
#[derive(Debug)]
pub struct UsageReporter {
    settings: UsageSettings,
    floor: Option<WindowId>,
}

impl UsageReporter {
    /// Creates a reporter without a lease.
    #[must_use]
    pub const fn new(settings: UsageSettings) -> Self {
        Self { settings, floor: None }
    }

    /// The highest window that is known to be frozen, here or at a peer. Announced to peers, and passed to
    /// [`crate::UsageCounter::forget_through`].
    #[must_use]
    pub const fn highest_frozen(&self) -> Option<WindowId> {
        self.floor
    }

    /// Handles an event at `now`, when the true time is `true_time`. Appends what to do to `out`.
    pub fn handle(
        &mut self,
        now: Time,
        true_time: UnixTime,
        event: ReporterEvent,
        out: &mut Vec<ReporterAction>,
    ) {
        let _ = (now, true_time, event, out, &self.settings);
    }
}
