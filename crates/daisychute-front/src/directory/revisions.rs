//! Which positions of the directory this front and its peers have seen.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::Notify;

use crate::{Collection, Position};

/// How long a peer may be ahead of a pending watch before that counts as lagging: it should have delivered the change by
/// then.
const LAG_GRACE: Duration = Duration::from_millis(350);

/// Which positions of one collection were seen.
#[derive(Debug, Default)]
struct Progress {
    // The position of the latest change that this front has seen.
    latest_seen: Cell<Position>,
    // The store's position up to which this front has seen all changes; the latest change may be older.
    covered: Cell<Position>,
    // The latest position that a peer has reported, and when a peer was first found ahead.
    reported: Cell<Option<(Position, Time)>>,
    // Peers that are ahead up to this position don't replace the watch again.
    checked: Cell<Position>,
    // When a peer was found ahead that may still be ahead.
    behind_since: Cell<Option<Time>>,
    lagging: Notify,
}

impl Progress {
    fn is_behind(&self) -> bool {
        self.reported.get().is_some_and(|reported| reported.0 > self.latest_seen.get())
    }

    fn record_reported(&self, now: Time, position: Position, grace: impl Fn() -> Duration) -> bool {
        if position <= self.latest_seen.get().max(self.checked.get()) {
            return false;
        }
        match self.reported.get() {
            Some((latest, since)) if latest > self.latest_seen.get() => {
                self.reported.set(Some((latest.max(position), since)));
                if now.since(since) < grace() {
                    return false;
                }
                self.checked.set(latest.max(position));
                self.lagging.notify_one();
                true
            }
            _ => {
                self.reported.set(Some((position, now)));
                self.behind_since.set(Some(now));
                false
            }
        }
    }
}

/// The progress of the watched collections.
///
/// A watch whose response was lost, or whose connection became unresponsive, delivers nothing until it times out. Peers
/// report to each other the latest change that they have seen, so that a front with a working watch makes the others
/// replace theirs. The more fronts there are, the longer each watch may wait.
#[derive(Debug, Default)]
pub struct Revisions {
    configuration: Progress,
    endpoints: Progress,
    /// Nobody is told of it: fronts are only listed, and a listing of them may be stale.
    fronts: Progress,
}

impl Revisions {
    fn of(&self, collection: Collection) -> &Progress {
        match collection {
            Collection::Configuration => &self.configuration,
            Collection::Endpoints => &self.endpoints,
            Collection::Fronts => &self.fronts,
        }
    }

    /// Records a change that this front has seen.
    pub fn record_seen(&self, collection: Collection, position: Position) {
        let latest_seen = &self.of(collection).latest_seen;
        latest_seen.set(latest_seen.get().max(position));
    }

    /// Records that this front has seen all changes up to a position of the store.
    pub fn record_covered(&self, collection: Collection, position: Position) {
        let covered = &self.of(collection).covered;
        covered.set(covered.get().max(position));
    }

    /// Returns the store's position up to which all changes of endpoints were seen here.
    #[must_use]
    pub fn endpoints_covered(&self) -> Position {
        self.endpoints.covered.get()
    }

    /// Returns the store's position up to which all changes of the configuration were seen here.
    #[must_use]
    pub fn configuration_covered(&self) -> Position {
        self.configuration.covered.get()
    }

    /// Returns the latest positions seen here of configuration and endpoints, for heartbeats and snapshots.
    #[must_use]
    pub fn latest_seen(&self) -> (Position, Position) {
        (self.configuration.latest_seen.get(), self.endpoints.latest_seen.get())
    }

    /// Records the positions of configuration and endpoints that a peer has reported. `collect_time` returns the time
    /// between two watches, in which peers may be ahead; it is called only if a peer is ahead. Returns for which of the
    /// two the pending watch now counts as lagging.
    pub fn record_reported(
        &self,
        now: Time,
        (configuration, endpoints): (Position, Position),
        collect_time: impl Fn() -> Duration,
    ) -> (bool, bool) {
        let grace = || LAG_GRACE + collect_time();
        (
            self.configuration.record_reported(now, configuration, grace),
            self.endpoints.record_reported(now, endpoints, grace),
        )
    }

    /// Returns for how long a peer was known to be ahead of this front's configuration, which has just caught up; `None` if
    /// no peer was.
    pub fn end_configuration_lag(&self, now: Time) -> Option<Duration> {
        Some(now.since(self.configuration.behind_since.take()?))
    }

    /// Whether a peer has reported later changes than this front has seen.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.configuration.is_behind() || self.endpoints.is_behind()
    }

    /// Whether a peer has reported a change of configurations that this front lacks.
    #[must_use]
    pub fn lacks_configuration(&self) -> bool {
        let Progress { latest_seen, covered, reported, .. } = &self.configuration;
        let known = latest_seen.get().max(covered.get());
        reported.get().is_some_and(|(position, _)| position > known)
    }

    /// Waits until a peer has been ahead for too long.
    pub async fn wait_until_lagging(&self, collection: Collection) {
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
