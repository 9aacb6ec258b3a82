//! Which directory revisions this front and its peers have seen.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::Notify;

use crate::Collection;

/// How long a peer may be ahead before this front's watch counts as lagging: the watch should have delivered the change
/// by then.
const LAG_GRACE: Duration = Duration::from_millis(350);

/// Which revisions of one collection were seen.
#[derive(Debug, Default)]
struct Progress {
    // The revision of the latest change that this front has seen.
    latest_seen: Cell<u64>,
    // The latest revision that a peer has reported, and when a peer was first found ahead.
    reported: Cell<Option<(u64, Time)>>,
    // Peers that are ahead up to this revision don't replace the watch again.
    checked: Cell<u64>,
    lagging: Notify,
}

impl Progress {
    fn record_reported(&self, now: Time, revision: u64) {
        if revision <= self.latest_seen.get().max(self.checked.get()) {
            return;
        }
        match self.reported.get() {
            Some((latest, since)) if latest > self.latest_seen.get() => {
                self.reported.set(Some((latest.max(revision), since)));
                if now.since(since) >= LAG_GRACE {
                    self.checked.set(latest.max(revision));
                    self.lagging.notify_one();
                }
            }
            _ => self.reported.set(Some((revision, now))),
        }
    }
}

/// The progress of the watched collections.
///
/// A watch whose response was lost, or whose connection became unresponsive, delivers nothing until it times out. Peers
/// report to each other the latest change that they have seen, so that a front with a working watch makes the others
/// replace theirs. The more fronts there are, the longer each watch may wait.
#[derive(Debug, Default)]
pub(crate) struct Revisions {
    configuration: Progress,
    endpoints: Progress,
}

impl Revisions {
    fn of(&self, collection: Collection) -> &Progress {
        match collection {
            Collection::Configuration => &self.configuration,
            Collection::Endpoints | Collection::Fronts => &self.endpoints,
        }
    }

    /// Records a change that this front has seen.
    pub(crate) fn record_seen(&self, collection: Collection, revision: u64) {
        let latest_seen = &self.of(collection).latest_seen;
        latest_seen.set(latest_seen.get().max(revision));
    }

    /// Returns the latest revisions seen here of configuration and endpoints, for heartbeats and snapshots.
    pub(crate) fn latest_seen(&self) -> (u64, u64) {
        (self.configuration.latest_seen.get(), self.endpoints.latest_seen.get())
    }

    /// Records the revisions of configuration and endpoints that a peer has reported.
    pub(crate) fn record_reported(&self, now: Time, (configuration, endpoints): (u64, u64)) {
        self.configuration.record_reported(now, configuration);
        self.endpoints.record_reported(now, endpoints);
    }

    /// Whether a peer has reported later changes than this front has seen.
    pub(crate) fn is_behind(&self) -> bool {
        let behind = |it: &Progress| {
            it.reported.get().is_some_and(|reported| reported.0 > it.latest_seen.get())
        };
        behind(&self.configuration) || behind(&self.endpoints)
    }

    /// Records that a peer's snapshot contained all changes up to these revisions.
    pub(crate) fn advance(&self, (configuration, endpoints): (u64, u64)) {
        self.record_seen(Collection::Configuration, configuration);
        self.record_seen(Collection::Endpoints, endpoints);
    }

    /// Waits until a peer has been ahead for at least [`LAG_GRACE`].
    pub(crate) async fn wait_until_lagging(&self, collection: Collection) {
        self.of(collection).lagging.notified().await;
    }
}
