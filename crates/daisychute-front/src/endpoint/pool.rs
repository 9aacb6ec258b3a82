//! Connections to endpoints that are kept for further requests.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use daisychute_dispatch::EndpointKey;
use rustc_hash::FxHashMap;

use crate::endpoint::connection::EndpointConnection;

/// A connection that is idle for longer isn't used for a request that may not run twice: the endpoint may be closing it.
pub(crate) const FRESH: Duration = Duration::from_millis(400);
/// A connection that is idle for longer isn't used at all, where the endpoint names no time of its own.
const KEEP: Duration = Duration::from_secs(3);
/// Stays between our use of a connection and the time that the endpoint names for closing it.
const MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for one endpoint: more than a front needs at once.
const MOST_IDLE: usize = 16;

struct Idle {
    connection: EndpointConnection,
    since: Instant,
    /// When it must not be used any more.
    until: Instant,
}

#[derive(Default)]
struct Entry {
    // Least recently used first.
    idle: VecDeque<Idle>,
    open: Rc<Cell<usize>>,
}

/// Idle connections by endpoint, and the count of all open ones.
#[derive(Default)]
pub(crate) struct Pool {
    entries: RefCell<FxHashMap<EndpointKey, Entry>>,
}

/// Counts one open connection of an endpoint.
pub(crate) struct Lease(Rc<Cell<usize>>);

impl Drop for Lease {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Takes the most recently used connection that is still sound, not idle for longer than `longest`.
    pub(crate) fn take(&self, key: EndpointKey, longest: Duration) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&key)?;
        while let Some(idle) = entry.idle.pop_back() {
            if now.duration_since(idle.since) > longest {
                entry.idle.push_back(idle);
                return None;
            }
            if now < idle.until && idle.connection.is_quiet() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer is complete.
    pub(crate) fn put(
        &self,
        key: EndpointKey,
        connection: EndpointConnection,
        keep_alive: Option<Duration>,
    ) {
        let since = Instant::now();
        let keep = keep_alive.map_or(KEEP, |it| it.saturating_sub(MARGIN).min(KEEP));
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(key).or_default();
        entry.idle.push_back(Idle { connection, since, until: since + keep });
        if entry.idle.len() > MOST_IDLE {
            entry.idle.pop_front();
        }
    }

    /// Counts a connection in use.
    pub(crate) fn lease(&self, key: EndpointKey) -> Lease {
        let mut entries = self.entries.borrow_mut();
        let open = Rc::clone(&entries.entry(key).or_default().open);
        open.set(open.get() + 1);
        Lease(open)
    }

    /// Connections to an endpoint: those in use and those kept.
    pub(crate) fn open(&self, key: EndpointKey) -> usize {
        let entries = self.entries.borrow();
        entries.get(&key).map_or(0, |it| it.open.get() + it.idle.len())
    }

    /// Connections that are kept, and those in use.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let entries = self.entries.borrow();
        let count = |(idle, busy), it: &Entry| (idle + it.idle.len(), busy + it.open.get());
        entries.values().fold((0, 0), count)
    }

    /// Closes the idle connections of an endpoint.
    pub(crate) fn drop_idle(&self, key: EndpointKey) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&key) {
            entry.idle.clear();
        }
    }

    /// Closes what was idle for too long, and forgets endpoints without connections.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.entries.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|it| now < it.until);
            !entry.idle.is_empty() || entry.open.get() > 0
        });
    }
}
