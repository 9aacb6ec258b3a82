//! The entries of a data centre that may watch, as their status objects tell.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{ProcessName, Time};

use crate::{ResourceVersion, elect_watchers};

/// An entry whose status object was listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherCandidate {
    /// The entry.
    pub process: ProcessName,
    /// The version of its status object.
    pub version: ResourceVersion,
    /// Whether it says that it leaves.
    pub leaving: bool,
}

#[derive(Debug)]
struct Seen {
    version: ResourceVersion,
    since: Time,
    leaving: bool,
}

/// Decides which entries of one data centre watch the platform.
///
/// An entry counts as live while its status object changes; no clocks are compared.
#[derive(Debug)]
pub struct WatcherElection {
    me: ProcessName,
    count: usize,
    lifetime: Duration,
    seen: BTreeMap<ProcessName, Seen>,
    listed: bool,
}

impl WatcherElection {
    /// The view of one entry, of which `count` are to watch. An entry whose status has not changed for `lifetime` is
    /// passed over.
    #[must_use]
    pub fn new(me: ProcessName, count: usize, lifetime: Duration) -> Self {
        Self { me, count, lifetime, seen: BTreeMap::new(), listed: false }
    }

    /// Takes a fresh list of the status objects.
    pub fn update(&mut self, now: Time, items: impl IntoIterator<Item = WatcherCandidate>) {
        let mut before = std::mem::take(&mut self.seen);
        for item in items {
            let known = before.remove(&item.process).filter(|it| it.version == item.version);
            let since = known.map_or(now, |it| it.since);
            let seen = Seen { version: item.version, since, leaving: item.leaving };
            self.seen.insert(item.process, seen);
        }
        self.listed = true;
    }

    /// Whether this entry is to watch. It is not before the first list, so that a fleet that starts together doesn't
    /// watch together.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        let live = self.seen.iter().filter(|it| !it.1.leaving);
        let live = live.filter(|it| now.since(it.1.since) < self.lifetime).map(|it| it.0);
        let watchers = elect_watchers(live.chain([&self.me]), self.count);
        self.listed && watchers.contains(&&self.me)
    }
}
