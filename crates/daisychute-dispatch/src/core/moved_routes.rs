//! Routes that lately sent their requests to other services.

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Time;
use rustc_hash::FxHashMap;

use crate::core::resumption::MAX_STREAM_AGE_FACTOR;
use crate::core::version_records::MAX_ISOLATION;
use crate::{Route, RouteTable};

/// Host and path prefix of a route.
type RouteKey = (Arc<str>, Arc<str>);

/// Until when the streams of each route may have begun at other services than its present ones.
#[derive(Debug, Clone, Default)]
pub(crate) struct MovedRoutes {
    /// For each route that moved or was added, the time until which streams may be resumed that began before.
    unsettled_until: FxHashMap<RouteKey, Time>,
    /// Since when each configuration was in force here that was in force at all; `None` before the first one.
    known_since: Option<Time>,
}

impl MovedRoutes {
    /// Records that configurations may have come and gone until now without being in force here.
    pub(crate) fn record_gap(&mut self, now: Time) {
        self.known_since = Some(now);
    }

    /// Records the routes whose requests get other services under the new configuration than under the old one. A route that
    /// wasn't there may have been removed before, with other services.
    pub(crate) fn record(&mut self, now: Time, old: &RouteTable, new: &RouteTable) {
        self.unsettled_until.retain(|_, until| now < *until);
        let longest = old.routes().chain(new.routes()).map(max_age).max().unwrap_or_default();
        // A longer prefix that is added or removed moves the requests that match it.
        let is_settled = |route: &Route| {
            let before = old.find(&route.host, &route.prefix);
            before.is_some_and(|it| it.backends == route.backends)
        };
        let shadowed = old.routes().filter_map(|it| {
            let successor: &Route = new.find(&it.host, &it.prefix)?;
            (successor.backends != it.backends).then_some(successor)
        });
        for route in new.routes().filter(|it| !is_settled(it)).chain(shadowed) {
            let key = (Arc::clone(&route.host), Arc::clone(&route.prefix));
            self.unsettled_until.insert(key, now + longest);
        }
    }

    /// Whether the streams of the route that can be resumed are known to have begun at its present services.
    pub(crate) fn is_settled(&self, now: Time, route: &Route) -> bool {
        let key = (Arc::clone(&route.host), Arc::clone(&route.prefix));
        let is_known = self.known_since.is_some_and(|at| now.since(at) >= max_age(route));
        is_known && self.unsettled_until.get(&key).is_none_or(|until| now >= *until)
    }
}

/// Returns for how long streams of the route may be resumed after another configuration was in force: a front that is cut off
/// may begin some under it.
fn max_age(route: &Route) -> Duration {
    route.timeout * MAX_STREAM_AGE_FACTOR + MAX_ISOLATION
}
