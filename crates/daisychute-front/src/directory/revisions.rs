//! How far this front and its peers have read the directory.

use std::cell::Cell;
use std::time::Duration;

use daisychute_core::Time;
use tokio::sync::Notify;

use crate::Collection;

/// A peer that is ahead for so long has seen a change that this front's watch should have brought by now.
const PATIENCE: Duration = Duration::from_millis(350);

/// How far one collection was read.
#[derive(Debug, Default)]
struct Progress {
    // The revision of the latest change that was seen here.
    own: Cell<u64>,
    // The latest that a peer told of, and when it was first told.
    told: Cell<Option<(u64, Time)>>,
    // Up to here a lagging watch was replaced already.
    checked: Cell<u64>,
    lagging: Notify,
}

impl Progress {
    fn told(&self, now: Time, revision: u64) {
        if revision <= self.own.get().max(self.checked.get()) {
            return;
        }
        match self.told.get() {
            Some((known, since)) if known > self.own.get() => {
                self.told.set(Some((known.max(revision), since)));
                if now.since(since) >= PATIENCE {
                    self.checked.set(known.max(revision));
                    self.lagging.notify_one();
                }
            }
            _ => self.told.set(Some((revision, now))),
        }
    }
}

/// The progress of the collections that are watched.
///
/// A watch whose answer was lost, or whose connection went silent, brings nothing until it times out. Peers tell each
/// other the latest change that they saw, so that one whose watch works sends the others to look again. The
/// more fronts there are, the longer each watch may wait.
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

    /// A change of this revision was seen here.
    pub(crate) fn seen(&self, collection: Collection, revision: u64) {
        let own = &self.of(collection).own;
        own.set(own.get().max(revision));
    }

    /// What the others are told.
    pub(crate) fn own(&self) -> (u64, u64) {
        (self.configuration.own.get(), self.endpoints.own.get())
    }

    /// A peer has seen changes up to these revisions.
    pub(crate) fn told(&self, now: Time, (configuration, endpoints): (u64, u64)) {
        self.configuration.told(now, configuration);
        self.endpoints.told(now, endpoints);
    }

    /// Whether a peer has told of later changes.
    pub(crate) fn is_behind(&self) -> bool {
        let behind = |it: &Progress| it.told.get().is_some_and(|told| told.0 > it.own.get());
        behind(&self.configuration) || behind(&self.endpoints)
    }

    /// Takes note that a peer's snapshot brought all changes up to these revisions.
    pub(crate) fn caught_up(&self, (configuration, endpoints): (u64, u64)) {
        self.seen(Collection::Configuration, configuration);
        self.seen(Collection::Endpoints, endpoints);
    }

    /// Waits until a peer has been ahead for a while.
    pub(crate) async fn lagging(&self, collection: Collection) {
        self.of(collection).lagging.notified().await;
    }
}
