//! Follows one collection of the directory.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::Event;
use tokio::time::sleep;

use crate::directory::answer::Answer;
use crate::directory::directory_outage::DirectoryOutage;
use crate::directory::{Change, Collection, Directory, DirectoryError, Listing, Position, Record};
use crate::peers::heartbeats::MAX_REGISTRATION_TIME;
use crate::state::FrontState;
use crate::{Continuity, Dialect};

/// Minimum wait time of a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Shortest wait time of a watch as a share of the longest, so that fronts don't call in step.
const MIN_WAIT_SHARE: f64 = 0.75;
/// Time from a failed watch until the changes that it missed are in force: the retry delay, a new connection, and a call.
const RECONNECT_TIME: Duration = Duration::from_millis(300);
/// Time between the response to a watch that had changes and the next watch, multiplied by the number of fronts: all
/// fronts together make at most a hundred calls a second for each collection, however often it changes.
const COLLECT_TIME_PER_FRONT: Duration = Duration::from_millis(10);
/// Maximum time between two watches. A front must know of a change within two seconds.
const MAX_COLLECT_TIME: Duration = Duration::from_millis(800);
/// Wait time of the first watch after a failure, so that it returns at once.
const PROBE_WAIT: Duration = Duration::from_millis(1);
/// Interval between listings of the fronts, multiplied by their number: fronts change rarely, and a new one soon sends
/// heartbeats itself.
const LISTING_INTERVAL_PER_FRONT: Duration = Duration::from_millis(700);
/// Minimum interval between listings of the fronts.
const MIN_LISTING_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a return of the directory in which records of fronts that it lacks are kept: all fronts register again in
/// half of it.
const FRONTS_RETURN_TIME: Duration = MAX_REGISTRATION_TIME.saturating_mul(2);
/// Delay after the first failed call; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay after failed calls: changes must be in force within two seconds of the directory's recovery.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of invalid records that are logged of one listing; the metric counts all of them. More would displace
/// other lines of the log.
const MAX_LOGGED_RECORDS: usize = 20;
/// Time after the start in which the maximum applies: endpoints and other fronts start at the same time, and their number
/// isn't known yet.
const STARTUP_TIME: Duration = Duration::from_secs(6);

/// Returns how long changes are collected in the directory before the next watch.
pub(crate) fn collect_time<D: Dialect>(state: &FrontState<D>) -> Duration {
    let uptime = state.now().since(Time::ZERO);
    if uptime < STARTUP_TIME {
        return MAX_COLLECT_TIME;
    }
    (COLLECT_TIME_PER_FRONT * state.front_count()).min(MAX_COLLECT_TIME)
}

/// Returns the delay after this many consecutive calls without a result, at least one.
fn retry_delay(calls: u32) -> Duration {
    (INITIAL_RETRY_DELAY * 2_u32.pow(calls.clamp(1, 5) - 1)).min(MAX_RETRY_DELAY)
}

/// Follows a collection and passes each change to the dispatcher.
pub(crate) struct Watcher<D, S> {
    state: Rc<FrontState<D>>,
    directory: S,
    collection: Collection,
    /// The names of the registered records. Not used for endpoints, which snapshots of peers change as well.
    names: BTreeSet<String>,
    /// Consecutive failed calls.
    failures: u32,
    /// Consecutive answers that were dropped because of a return of the directory.
    outdated: u32,
    /// Consecutive watches that ended early without a change.
    early: u32,
    /// Invalid records of the present listing that were logged.
    logged: usize,
    /// Whether the watch was replaced because a peer is ahead.
    is_lagging: bool,
    outage: DirectoryOutage,
    /// When the directory last answered this watcher. Its connections may have been silent since.
    last_answer: Time,
    /// Latest era in which the directory answered this watcher. 0 before the first answer.
    era: u64,
    era_is_known: bool,
}

impl<D: Dialect, S: Directory> Watcher<D, S> {
    pub(crate) fn new(state: Rc<FrontState<D>>, directory: S, collection: Collection) -> Self {
        let names = BTreeSet::new();
        Self {
            state,
            directory,
            collection,
            names,
            failures: 0,
            outdated: 0,
            early: 0,
            logged: 0,
            is_lagging: false,
            outage: DirectoryOutage::default(),
            last_answer: Time::ZERO,
            era: 0,
            era_is_known: false,
        }
    }

    /// Runs for the life of the process.
    pub(crate) async fn run(mut self) {
        loop {
            let allow_stale = self.collection == Collection::Fronts;
            let deadline = self.state.now();
            let answer = self.directory.list(self.collection, allow_stale).await;
            self.record_era(answer.era);
            match answer.result {
                Ok(it) if self.continuity(None, &it) != Continuity::Continues => {
                    self.drop_outdated(it.position).await;
                }
                Ok(listing) => {
                    self.record_success();
                    let position = listing.position;
                    self.replace(listing);
                    self.state.revisions.record_covered(self.collection, position);
                    if allow_stale {
                        self.wait_for_next_listing(position).await;
                    } else {
                        self.follow(position).await;
                    }
                }
                Err(DirectoryError::HistoryGone) => {
                    let collection = self.collection.as_str();
                    log::info!(collection; "the directory was restored while it was listed");
                    self.delay_next_listing().await;
                }
                Err(e) => self.handle_failure(&e, deadline).await,
            }
        }
    }

    /// Records the era of an answer.
    fn record_era(&mut self, era: Option<u64>) {
        let Some(era) = era else { return };
        self.state.record_era(era, "directory");
        if era > self.era {
            // The era of the first answer tells nothing about a return.
            if self.era_is_known {
                self.outage.record_restored(self.state.now());
            }
            self.era = era;
        }
        self.era_is_known = true;
    }

    /// Returns how a listing relates to the known era and to the position `after` from which it was asked for.
    fn continuity(&self, after: Option<Position>, listing: &Listing) -> Continuity {
        self.state.era.continuity(after, listing.position)
    }

    /// Drops a listing of an earlier era, and waits before the next call.
    async fn drop_outdated(&mut self, position: Position) {
        let collection = self.collection.as_str();
        let (era, latest) = (position.era(), self.state.era.latest());
        log::info!(collection, era, latest; "answer from before the return of the directory dropped");
        self.delay_next_listing().await;
    }

    /// Waits after an answer that can't be applied.
    async fn delay_next_listing(&mut self) {
        self.outdated += 1;
        sleep(self.state.jitter(retry_delay(self.outdated))).await;
    }

    /// Waits until the next listing of the fronts: at the next interval, or after a return of the directory.
    async fn wait_for_next_listing(&self, position: Position) {
        let delay = LISTING_INTERVAL_PER_FRONT * self.front_count();
        let delay = self.state.jitter(delay.max(MIN_LISTING_INTERVAL));
        tokio::select! {
            () = sleep(delay) => {}
            () = self.wait_until_restored(position) => {}
        }
    }

    /// Waits until the directory was restored after `position`, and then for a random share of the time in which all
    /// fronts list again.
    async fn wait_until_restored(&self, position: Position) {
        self.state.era.wait_until_after(position.era()).await;
        sleep(self.state.spread(collect_time(&self.state))).await;
    }

    fn front_count(&self) -> u32 {
        self.state.front_count()
    }

    /// Returns how long the next watch waits: so short that, if all connections went silent right after the last answer,
    /// it fails early enough for a call on a new one within the maximum silence. After a failure it must show at once
    /// whether the directory is reachable again, because the time in which removed records may come back starts then.
    /// A change that a peer already has is returned at once too, unless the directory is silent.
    fn watch_wait(&self) -> Duration {
        if self.failures > 0 || self.is_lagging {
            return PROBE_WAIT;
        }
        let since_answer = self.state.now().since(self.last_answer);
        let reserve = since_answer + S::WATCH_RESPONSE_MARGIN + RECONNECT_TIME;
        let longest = self.state.max_silence().saturating_sub(reserve);
        let shortest = longest.mul_f64(MIN_WAIT_SHARE);
        (shortest + self.state.spread(longest - shortest)).max(MIN_WATCH_WAIT)
    }

    /// Watches for changes after `position` until a new listing is needed.
    async fn follow(&mut self, mut position: Position) {
        loop {
            let wait = self.watch_wait();
            let deadline = self.state.now() + wait;
            let begun = tokio::select! {
                begun = self.directory.watch(self.collection, position, wait) => begun,
                () = self.state.revisions.wait_until_lagging(self.collection) => {
                    let (collection, revision) = (self.collection.as_str(), position.revision());
                    log::info!(collection, revision; "a peer has seen a newer revision; watch restarted");
                    self.is_lagging = true;
                    self.directory.reconnect();
                    continue;
                }
                () = self.wait_until_restored(position) => return,
                () = self.wait_until_released() => return,
            };
            let has_begun = begun.result.is_ok();
            // A response that arrives isn't given up for a peer that has it already: it would have to be sent again.
            let answer = match begun.result {
                Ok(response) => self.directory.receive(response).await,
                Err(e) => Answer::err(begun.era, e),
            };
            self.record_era(answer.era);
            match answer.result {
                Ok(listing) => {
                    match self.continuity(Some(position), &listing) {
                        Continuity::Continues => {}
                        Continuity::Outdated => return self.drop_outdated(listing.position).await,
                        Continuity::Restored => return,
                    }
                    self.record_success();
                    position = position.max(listing.position);
                    self.state.revisions.record_seen(self.collection, listing.latest);
                    let changed = !listing.changes.is_empty();
                    self.apply_all(listing.changes, position.era(), false);
                    self.state.revisions.record_covered(self.collection, position);
                    if changed {
                        self.early = 0;
                        sleep(self.state.jitter(collect_time(&self.state))).await;
                    } else {
                        self.pace(wait, deadline).await;
                    }
                }
                Err(DirectoryError::HistoryGone) => {
                    let (collection, revision) = (self.collection.as_str(), position.revision());
                    log::warn!(collection, revision; "the directory no longer has the changes since this revision; listing again");
                    return self.pace(wait, deadline).await;
                }
                Err(DirectoryError::TooManyChanges) => {
                    let (collection, revision) = (self.collection.as_str(), position.revision());
                    log::info!(collection, revision; "the changes since this revision are larger than a listing; listing again");
                    return;
                }
                Err(e) => {
                    self.handle_failure(&e, deadline).await;
                    if has_begun {
                        // A list has each object once, a watch each of its changes, which may be too much.
                        return;
                    }
                }
            }
        }
    }

    /// Waits after a watch without a change, which should have lasted until `deadline`, if the one before ended early too.
    /// A single one may have been cut off, or have shown a change of another object.
    async fn pace(&mut self, wait: Duration, deadline: Time) {
        let left = deadline.since(self.state.now());
        if left <= wait / 2 {
            self.early = 0;
            return;
        }
        self.early = self.early.saturating_add(1);
        if self.early == 1 {
            return;
        }
        let collection = self.collection.as_str();
        metrics::counter!("daisychute_directory_early_answers_total", "collection" => collection)
            .increment(1);
        if self.early == 2 {
            log::warn!(collection; "watches end early without a change; the next ones are delayed");
        }
        sleep(self.state.jitter(retry_delay(self.early - 1)).min(left)).await;
    }

    fn record_success(&mut self) {
        let collection = self.collection.as_str();
        metrics::counter!("daisychute_directory_answers_total", "collection" => collection)
            .increment(1);
        if self.collection == Collection::Configuration {
            self.state.directory_unreachable.set(false);
            self.state.directory_last_seen.set(self.state.now());
        }
        if self.outage.record_success(self.state.now()) {
            self.extend_hold();
            log::info!(collection, failures = self.failures; "directory regained");
        }
        self.last_answer = self.state.now();
        self.is_lagging = false;
        self.failures = 0;
        self.outdated = 0;
    }

    /// Keeps endpoints that left before a return from being used: records that nobody renews aren't dropped during an
    /// outage. Refused calls for other collections say nothing about that.
    fn extend_hold(&self) {
        let mut departures = self.state.departures.borrow_mut();
        if self.collection == Collection::Endpoints && departures.held_until().is_some() {
            departures.hold(self.state.now());
        }
    }

    /// Waits until endpoints that left before a return may be used again.
    async fn wait_until_released(&self) {
        let held_until = self.state.departures.borrow().held_until();
        match held_until {
            Some(it) if self.collection == Collection::Endpoints => {
                let spread = self.state.spread(collect_time(&self.state));
                sleep(it.since(self.state.now()) + spread).await;
            }
            _ => std::future::pending().await,
        }
    }

    /// Records a failed call that should have been answered by `deadline`, and waits before the next one.
    async fn handle_failure(&mut self, error: &DirectoryError, deadline: Time) {
        let collection = self.collection.as_str();
        self.failures += 1;
        self.directory.reconnect();
        self.outage.record_failure(deadline.min(self.state.now()));
        if self.collection == Collection::Configuration {
            self.state.directory_unreachable.set(true);
            self.state.snapshot_wanted.notify_one();
        }
        if self.failures == 1 {
            log::warn!(collection, error:%; "directory lost; what is known stays in force");
        }
        metrics::counter!("daisychute_directory_failures_total", "collection" => collection)
            .increment(1);
        sleep(self.state.jitter(retry_delay(self.failures))).await;
    }

    /// Applies a complete listing: records that it lacks are removed.
    fn replace(&mut self, listing: Listing) {
        let (now, era) = (self.state.now(), listing.position.era());
        self.state.revisions.record_seen(self.collection, listing.latest);
        let listed: BTreeSet<_> = listing.changes.iter().map(|it| it.name.clone()).collect();
        let was_listed = self.state.revisions.endpoints_covered() != Position::default();
        if self.collection == Collection::Endpoints && was_listed {
            self.state.handle(Event::EndpointsMissed);
        }
        let known = self.known_names();
        let removed: Vec<_> = known.difference(&listed).cloned().collect();
        // Fronts register again over some time after a return.
        let fronts_return = self.collection == Collection::Fronts
            && self.state.era.has_risen_within(now, FRONTS_RETURN_TIME);
        for name in removed.into_iter().filter(|_| !fronts_return) {
            self.apply(Change { name, record: None }, era, true);
        }
        self.apply_all(listing.changes, era, true);
        match self.collection {
            Collection::Endpoints => self.state.departures.borrow_mut().record_listed(now, era),
            Collection::Fronts => self.state.peers.record_listing(),
            Collection::Configuration => {}
        }
    }

    fn known_names(&self) -> BTreeSet<String> {
        if self.collection != Collection::Endpoints {
            return self.names.clone();
        }
        self.state.with_dispatcher(|it| it.fleet().names().map(ToString::to_string).collect())
    }

    /// Applies the changes of one listing. `may_skip` is whether the directory may have had others before them.
    fn apply_all(&mut self, changes: Vec<Change>, era: u64, may_skip: bool) {
        self.logged = 0;
        for change in changes {
            self.apply(change, era, may_skip);
        }
    }

    /// Applies a change that the directory told in this era.
    fn apply(&mut self, change: Change, era: u64, may_skip: bool) {
        let Change { name, record } = change;
        match record {
            Some(Ok(record)) => {
                if self.collection != Collection::Endpoints {
                    self.names.insert(name.clone());
                }
                self.upsert(name, record, era, may_skip);
            }
            Some(Err(reason)) => {
                let collection = self.collection.as_str();
                if self.logged < MAX_LOGGED_RECORDS {
                    self.logged += 1;
                    log::info!(collection, name, reason; "invalid record treated as removed");
                }
                metrics::counter!("daisychute_invalid_records_total", "collection" => collection)
                    .increment(1);
                self.remove(name, era);
            }
            None => self.remove(name, era),
        }
    }

    fn upsert(&self, name: String, record: Record, era: u64, may_skip: bool) {
        match record {
            Record::Configuration(table) => {
                self.state.apply_configuration(table, "directory", may_skip);
            }
            Record::Endpoint(endpoint) => {
                let removal = self.outage.removal(self.state.now());
                self.state.upsert_endpoint(endpoint, era, removal);
            }
            Record::Front(address) => {
                self.state.peers.update(self.state.now(), name, Some(address))
            }
        }
    }

    fn remove(&mut self, name: String, era: u64) {
        let was_registered = self.names.remove(&name);
        match self.collection {
            // The last configuration stays in force.
            Collection::Configuration => {}
            Collection::Fronts if !was_registered => {}
            Collection::Fronts => self.state.peers.update(self.state.now(), name, None),
            Collection::Endpoints => {
                let Ok(name) = EndpointName::try_from(name) else { return };
                let removal = self.outage.removal(self.state.now());
                self.state.remove_endpoint(name, era, removal);
            }
        }
    }
}
