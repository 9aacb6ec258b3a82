//! Election of the entries that watch the platform for their data centre, based on their status objects.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ProcessName, Time};

use crate::{ResourceVersion, elect_watchers};

/// An entry of the data centre, as listed by its status object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherCandidate {
    /// Name of the entry's process.
    pub process: ProcessName,
    /// Version of the entry's status object; a live entry updates it regularly.
    pub version: ResourceVersion,
    /// Whether the entry reports that it is shutting down.
    pub leaving: bool,
}

/// Last version of an entry's status object, and when it was first listed.
#[derive(Debug)]
struct ObservedStatus {
    version: ResourceVersion,
    changed_at: Time,
    leaving: bool,
}

/// Decides which entries of one data centre watch the platform.
///
/// An entry counts as live while its status object changes, so no clocks of two processes are compared.
#[derive(Debug)]
pub struct WatcherElection {
    own_name: ProcessName,
    count: usize,
    status_ttl: Duration,
    statuses: BTreeMap<ProcessName, ObservedStatus>,
    has_list: bool,
}

impl WatcherElection {
    /// The election as seen by the entry `own_name`, which elects `count` watchers. An entry whose status has not
    /// changed for `status_ttl` is not elected.
    #[must_use]
    pub fn new(own_name: ProcessName, count: usize, status_ttl: Duration) -> Self {
        Self { own_name, count, status_ttl, statuses: BTreeMap::new(), has_list: false }
    }

    /// Replaces the known status objects by a new list.
    pub fn update(&mut self, now: Time, items: impl IntoIterator<Item = WatcherCandidate>) {
        let mut previous = std::mem::take(&mut self.statuses);
        for item in items {
            let unchanged = previous.remove(&item.process).filter(|it| it.version == item.version);
            let changed_at = unchanged.map_or(now, |it| it.changed_at);
            let status =
                ObservedStatus { version: item.version, changed_at, leaving: item.leaving };
            self.statuses.insert(item.process, status);
        }
        self.has_list = true;
    }

    /// Whether this entry is elected. Always false before the first list: otherwise all entries of a fleet that starts
    /// at the same time would watch.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        let live = self.statuses.iter().filter(|it| !it.1.leaving);
        let live = live.filter(|it| now.since(it.1.changed_at) < self.status_ttl).map(|it| it.0);
        let watchers = elect_watchers(live.chain([&self.own_name]), self.count);
        self.has_list && watchers.contains(&&self.own_name)
    }
}
