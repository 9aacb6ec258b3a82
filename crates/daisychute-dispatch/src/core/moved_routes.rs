//! Routes that lately sent their requests to other services.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use rustc_hash::FxHashMap;

use crate::{Route, RouteTable};

/// Host and path prefix of a route.
type RouteKey = (Arc<str>, Arc<str>);

/// When requests of each route last got other services, or other weights.
#[derive(Debug, Clone, Default)]
pub(crate) struct MovedRoutes {
    moved_at: FxHashMap<RouteKey, Time>,
    /// Since when each configuration was in force here that was in force at all; `None` before the first one.
    known_since: Option<Time>,
}

impl MovedRoutes {
    /// How long moves are remembered, more than any stream takes.
    const MAX_AGE: Duration = Duration::from_secs(1_200);

    /// Records that configurations may have come and gone until now without being in force here.
    pub(crate) fn record_gap(&mut self, now: Time) {
        self.known_since = Some(now);
    }

    /// Records the routes whose requests get other services under the new configuration than under the old one.
    pub(crate) fn record(&mut self, now: Time, old: &RouteTable, new: &RouteTable) {
        self.moved_at.retain(|_, at| now.since(*at) < Self::MAX_AGE);
        // A longer prefix that is added or removed moves the requests that match it.
        let added = new.routes().filter_map(|it| Some((old.find(&it.host, &it.prefix)?, it)));
        let kept = old.routes().filter_map(|it| {
            let successor: &Route = new.find(&it.host, &it.prefix)?;
            Some((it, successor))
        });
        let added = added.map(|(old, new)| (&**old, new));
        for (_, route) in added.chain(kept).filter(|(old, new)| old.backends != new.backends) {
            self.moved_at.insert((Arc::clone(&route.host), Arc::clone(&route.prefix)), now);
        }
    }

    /// Whether all requests of the route are known to have got the same services during all of the last `age`.
    pub(crate) fn is_settled(&self, now: Time, route: &Route, age: Duration) -> bool {
        let key = (Arc::clone(&route.host), Arc::clone(&route.prefix));
        let is_known = self.known_since.is_some_and(|at| now.since(at) >= age);
        is_known && self.moved_at.get(&key).is_none_or(|at| now.since(*at) >= age)
    }
}
