//! Whether a front knows what the others have told.

use std::time::Duration;

use daisychute_core::Time;

use crate::{Action, Dispatcher};

/// When this front last heard of the others.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contact {
    /// When a heartbeat of another front last arrived; `None` if none ever did.
    peer_heard_at: Option<Time>,
}

impl Contact {
    /// Time without a heartbeat of any other front after which this one may be cut off: live fronts send several a second,
    /// and repeat their news in some of them.
    const MAX_SILENCE: Duration = Duration::from_millis(1_500);

    /// Records a heartbeat. Returns whether there was none for so long before that news may have been missed.
    fn record_heartbeat(&mut self, now: Time) -> bool {
        let before = self.peer_heard_at.replace(now);
        before.is_some_and(|at| now.since(at) >= Self::MAX_SILENCE)
    }

    /// Returns the time since the last heartbeat of another front; `None` if none ever arrived.
    pub(crate) fn heard_ago(&self, now: Time) -> Option<Duration> {
        self.peer_heard_at.map(|at| now.since(at))
    }

    /// Whether this front would know of new versions: it hears another front, or there never was one.
    pub(crate) fn is_given(&self, now: Time) -> bool {
        self.peer_heard_at.is_none_or(|at| now.since(at) < Self::MAX_SILENCE)
    }
}

impl Dispatcher {
    /// Shortest suspension of the machine after which news may have been missed.
    pub const MIN_SUSPENSION: Duration = Contact::MAX_SILENCE;

    /// Records that a heartbeat of another front arrived.
    pub(crate) fn record_contact(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.contact.record_heartbeat(now) {
            self.forget_completeness(now, actions);
        }
    }

    /// Versions may have come and gone, and streams begun at them, without this front's knowledge: as after a start, the
    /// directory's records have to tell them.
    pub(crate) fn forget_completeness(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.versions.forget_completeness(now);
        actions.push(Action::ReadVersionRecords);
    }
}
