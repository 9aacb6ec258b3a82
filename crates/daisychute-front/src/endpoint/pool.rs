//! A pool of idle connections to endpoints.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use daisychute_dispatch::EndpointKey;
use rustc_hash::FxHashMap;

use crate::endpoint::connection::EndpointConnection;

/// Maximum idle time of a connection that carries a non-repeatable request: after a longer time the endpoint may be
/// closing it.
pub(crate) const MAX_IDLE_FOR_NON_REPEATABLE: Duration = Duration::from_millis(400);
/// Maximum idle time of a pooled connection; the limit that an endpoint announces may shorten it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Safety margin before the time at which the endpoint has announced to close an idle connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections per endpoint, more than a front usually needs at once.
const MAX_IDLE_PER_ENDPOINT: usize = 16;

struct IdleConnection {
    connection: EndpointConnection,
    idle_since: Instant,
    /// When the connection expires; it isn't used after that.
    expires_at: Instant,
}

#[derive(Default)]
struct EndpointEntry {
    // Ordered from the least to the most recently used.
    idle: VecDeque<IdleConnection>,
    in_use: Rc<Cell<usize>>,
}

/// Idle connections by endpoint, and the number of connections in use for each.
#[derive(Default)]
pub(crate) struct Pool {
    entries: RefCell<FxHashMap<EndpointKey, EndpointEntry>>,
}

/// Counts one connection to an endpoint as in use until it is dropped.
pub(crate) struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Pool {
    /// Takes the most recently used connection that is still reusable, was idle for at most `max_idle`, and hasn't carried
    /// this request before. Returns `None` if there is none.
    pub(crate) fn take(
        &self,
        key: EndpointKey,
        max_idle: Duration,
        request: &str,
    ) -> Option<EndpointConnection> {
        let now = Instant::now();
        let mut entries = self.entries.borrow_mut();
        let entry = entries.get_mut(&key)?;
        while let Some(idle) = entry.idle.pop_back() {
            if now.duration_since(idle.idle_since) > max_idle {
                entry.idle.push_back(idle);
                return None;
            }
            let is_usable = now < idle.expires_at && idle.connection.is_reusable();
            if is_usable && idle.connection.takes(request) {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is the idle time that the endpoint
    /// allows, if it announced one.
    pub(crate) fn put(
        &self,
        key: EndpointKey,
        connection: EndpointConnection,
        keep_alive: Option<Duration>,
    ) {
        if !connection.is_worth_keeping() {
            return;
        }
        let idle_since = Instant::now();
        let idle_limit = keep_alive
            .map_or(MAX_IDLE_TIME, |it| it.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME));
        let mut entries = self.entries.borrow_mut();
        let entry = entries.entry(key).or_default();
        entry.idle.push_back(IdleConnection {
            connection,
            idle_since,
            expires_at: idle_since + idle_limit,
        });
        if entry.idle.len() > MAX_IDLE_PER_ENDPOINT {
            entry.idle.pop_front();
        }
    }

    /// Counts a connection as in use until the guard is dropped.
    pub(crate) fn guard(&self, key: EndpointKey) -> ConnectionGuard {
        let mut entries = self.entries.borrow_mut();
        let in_use = Rc::clone(&entries.entry(key).or_default().in_use);
        in_use.set(in_use.get() + 1);
        ConnectionGuard(in_use)
    }

    /// Returns the number of connections to an endpoint, both in use and idle.
    pub(crate) fn connection_count(&self, key: EndpointKey) -> usize {
        let entries = self.entries.borrow();
        entries.get(&key).map_or(0, |it| it.in_use.get() + it.idle.len())
    }

    /// Returns the numbers of idle connections and of connections in use, over all endpoints.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let entries = self.entries.borrow();
        let count =
            |(idle, busy), it: &EndpointEntry| (idle + it.idle.len(), busy + it.in_use.get());
        entries.values().fold((0, 0), count)
    }

    /// Closes the idle connections of an endpoint.
    pub(crate) fn drop_idle(&self, key: EndpointKey) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&key) {
            entry.idle.clear();
        }
    }

    /// Closes expired idle connections and removes endpoints without connections.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        self.entries.borrow_mut().retain(|_, entry| {
            entry.idle.retain(|it| now < it.expires_at);
            !entry.idle.is_empty() || entry.in_use.get() > 0
        });
    }
}
