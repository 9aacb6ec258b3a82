//! Keeps up with one collection of the directory.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use tokio::time::sleep;

use crate::Dialect;
use crate::directory::directory_outage::DirectoryOutage;
use crate::directory::{Change, Collection, Directory, DirectoryError, Listing, Record};
use crate::shared::Shared;

/// How long one watch waits at the directory, for each front: fronts tell each other of changes, so that together they
/// notice within about this time that watches bring nothing any more.
const WATCH_EACH: Duration = Duration::from_millis(600);
/// The shortest wait of a watch.
const SHORTEST_WATCH: Duration = Duration::from_millis(1_500);
/// The longest wait of a watch.
const LONGEST_WATCH: Duration = Duration::from_secs(12);
/// The wait of the first watch after a failure.
const PROBE: Duration = Duration::from_millis(1);
/// The pause between two looks at the other fronts, for each of them: they change rarely, and a new one is heard soon.
const LOOK_EACH: Duration = Duration::from_millis(700);
/// The shortest pause between two looks at the other fronts.
const SHORTEST_LOOK: Duration = Duration::from_secs(2);
/// The first pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(60);
/// The longest pause after failed calls: changes must be in force within two seconds of the directory's return.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// Follows a collection and tells the dispatcher of each change.
pub(crate) struct Watcher<D, S> {
    shared: Rc<Shared<D>>,
    store: S,
    collection: Collection,
    /// The names that are listed.
    names: BTreeSet<String>,
    /// Failed calls in a row.
    failures: u32,
    outage: DirectoryOutage,
}

impl<D: Dialect, S: Directory> Watcher<D, S> {
    pub(crate) fn new(shared: Rc<Shared<D>>, store: S, collection: Collection) -> Self {
        let names = BTreeSet::new();
        Self { shared, store, collection, names, failures: 0, outage: DirectoryOutage::default() }
    }

    /// Runs for the life of the process.
    pub(crate) async fn run(mut self) {
        loop {
            let old = self.collection == Collection::Fronts;
            let due = self.shared.now();
            match self.store.list(self.collection, old).await {
                Ok(listing) => {
                    self.answered();
                    let revision = listing.revision;
                    self.replace(listing);
                    if old {
                        self.pause().await;
                    } else {
                        self.follow(revision).await;
                    }
                }
                Err(e) => self.failed(&e, due).await,
            }
        }
    }

    /// Waits until the other fronts are looked at again.
    async fn pause(&self) {
        let pause = LOOK_EACH * self.fronts();
        sleep(self.shared.jitter(pause.max(SHORTEST_LOOK))).await;
    }

    fn fronts(&self) -> u32 {
        u32::try_from(self.shared.peers.count(self.shared.now())).unwrap_or(u32::MAX)
    }

    /// How long the next watch waits. After a failure it must tell at once whether the directory is back: the time in
    /// which vanished records may come back begins then.
    fn wait(&self) -> Duration {
        if self.failures > 0 {
            return PROBE;
        }
        let wait = (WATCH_EACH * self.fronts()).clamp(SHORTEST_WATCH, LONGEST_WATCH);
        self.shared.jitter(wait)
    }

    /// Watches from `revision` on until a new listing is needed.
    async fn follow(&mut self, mut revision: u64) {
        loop {
            let wait = self.wait();
            let due = self.shared.now() + wait;
            let listing = tokio::select! {
                listing = self.store.watch(self.collection, revision, wait) => listing,
                () = self.shared.revisions.lagging(self.collection) => {
                    let collection = self.collection.as_str();
                    log::info!(collection, revision; "a peer has a newer revision; watch replaced");
                    continue;
                }
            };
            match listing {
                Ok(listing) => {
                    self.answered();
                    revision = revision.max(listing.revision);
                    self.shared.revisions.seen(self.collection, listing.latest);
                    for change in listing.changes {
                        self.apply(change);
                    }
                }
                Err(DirectoryError::HistoryGone) => {
                    let collection = self.collection.as_str();
                    log::warn!(collection, revision; "history dropped by the directory; listing again");
                    return;
                }
                Err(e) => self.failed(&e, due).await,
            }
        }
    }

    fn answered(&mut self) {
        let collection = self.collection.as_str();
        metrics::counter!("daisychute_directory_answers_total", "collection" => collection)
            .increment(1);
        if self.collection == Collection::Configuration {
            self.shared.directory_lost.set(false);
            self.shared.directory_heard.set(self.shared.now());
        }
        if self.outage.answered(self.shared.now()) {
            log::info!(collection, failures = self.failures; "directory regained");
        }
        self.failures = 0;
    }

    /// A call failed that should have been answered by `due`.
    async fn failed(&mut self, error: &DirectoryError, due: Time) {
        let collection = self.collection.as_str();
        self.failures += 1;
        self.outage.failed(due.min(self.shared.now()));
        if self.collection == Collection::Configuration {
            self.shared.directory_lost.set(true);
        }
        if self.failures == 1 {
            log::warn!(collection, error:%; "directory lost; what is known stays in force");
        }
        metrics::counter!("daisychute_directory_failures_total", "collection" => collection)
            .increment(1);
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(5) - 1);
        sleep(self.shared.jitter(pause.min(LONGEST_PAUSE))).await;
    }

    /// Takes a whole listing in: records that it lacks are gone.
    fn replace(&mut self, listing: Listing) {
        self.shared.revisions.seen(self.collection, listing.latest);
        let listed: BTreeSet<_> = listing.changes.iter().map(|it| it.name.clone()).collect();
        let gone: Vec<_> = self.names.difference(&listed).cloned().collect();
        for name in gone {
            self.apply(Change { name, record: None });
        }
        for change in listing.changes {
            self.apply(change);
        }
    }

    fn apply(&mut self, change: Change) {
        let Change { name, record } = change;
        match record {
            Some(Ok(record)) => {
                self.names.insert(name.clone());
                self.take(name, record);
            }
            Some(Err(reason)) => {
                let collection = self.collection.as_str();
                log::debug!(collection, name, reason; "record can't be read; it counts as absent");
                self.drop(name);
            }
            None => self.drop(name),
        }
    }

    fn take(&self, name: String, record: Record) {
        match record {
            Record::Configuration(table) => {
                self.shared.configured(table);
            }
            Record::Endpoint(endpoint) => self.shared.listed(endpoint),
            Record::Front(address) => {
                self.shared.peers.listed(self.shared.now(), name, Some(address))
            }
        }
    }

    fn drop(&mut self, name: String) {
        if !self.names.remove(&name) {
            return;
        }
        match self.collection {
            // The last configuration stays in force.
            Collection::Configuration => {}
            Collection::Fronts => self.shared.peers.listed(self.shared.now(), name, None),
            Collection::Endpoints => {
                let Ok(name) = EndpointName::try_from(name) else { return };
                let removal = self.outage.removal(self.shared.now());
                self.shared.unlisted(name, removal);
            }
        }
    }
}
