//! Which directory revisions this front and its peers have seen.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::Notify;

use crate::Collection;

/// How long a peer may be ahead of a pending watch before that counts as lagging: it should have delivered the change by
/// then.
const LAG_GRACE: Duration = Duration::from_millis(350);

/// Which revisions of one collection were seen.
#[derive(Debug, Default)]
struct Progress {
    // The revision of the latest change that this front has seen.
    latest_seen: Cell<u64>,
    // The store's revision up to which this front has seen all changes; the latest change may be older.
    covered: Cell<u64>,
    // The latest revision that a peer has reported, and when a peer was first found ahead.
    reported: Cell<Option<(u64, Time)>>,
    // Peers that are ahead up to this revision don't replace the watch again.
    checked: Cell<u64>,
    lagging: Notify,
}

impl Progress {
    fn is_behind(&self) -> bool {
        self.reported.get().is_some_and(|reported| reported.0 > self.latest_seen.get())
    }

    fn record_reported(&self, now: Time, revision: u64, grace: impl Fn() -> Duration) {
        if revision <= self.latest_seen.get().max(self.checked.get()) {
            return;
        }
        match self.reported.get() {
            Some((latest, since)) if latest > self.latest_seen.get() => {
                self.reported.set(Some((latest.max(revision), since)));
                if now.since(since) >= grace() {
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

    /// Records that this front has seen all changes up to a revision of the store.
    pub(crate) fn record_covered(&self, collection: Collection, revision: u64) {
        let covered = &self.of(collection).covered;
        covered.set(covered.get().max(revision));
    }

    /// Returns the store's revision up to which all changes of endpoints were seen here; 0 if none were.
    pub(crate) fn endpoints_covered(&self) -> u64 {
        self.endpoints.covered.get()
    }

    /// Returns the latest revisions seen here of configuration and endpoints, for heartbeats and snapshots.
    pub(crate) fn latest_seen(&self) -> (u64, u64) {
        (self.configuration.latest_seen.get(), self.endpoints.latest_seen.get())
    }

    /// Records the revisions of configuration and endpoints that a peer has reported. `collect_time` returns the
    /// time between two watches, in which peers may be ahead; it is called only if a peer is ahead.
    pub(crate) fn record_reported(
        &self,
        now: Time,
        (configuration, endpoints): (u64, u64),
        collect_time: impl Fn() -> Duration,
    ) {
        let grace = || LAG_GRACE + collect_time();
        self.configuration.record_reported(now, configuration, grace);
        self.endpoints.record_reported(now, endpoints, grace);
    }

    /// Whether a peer has reported later changes than this front has seen.
    pub(crate) fn is_behind(&self) -> bool {
        self.configuration.is_behind() || self.endpoints.is_behind()
    }

    /// Waits until a peer has been ahead for too long.
    pub(crate) async fn wait_until_lagging(&self, collection: Collection) {
        let progress = self.of(collection);
        loop {
            progress.lagging.notified().await;
            // The change may have arrived after the notification.
            if progress.is_behind() {
                return;
            }
        }
    }
}
