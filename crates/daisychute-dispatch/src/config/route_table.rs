//! All routes of one version of the configuration.

use std::sync::Arc;

use daisychute_core::ServiceName;
use rustc_hash::FxHashMap;

use crate::{ClientLimits, Route, ServiceSpec};

/// Two routes have the same host and prefix.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("routes {first:?} and {second:?} both claim {host}{prefix}")]
pub struct DuplicateRoute {
    /// The route that stands first.
    pub first: Arc<str>,
    /// The route that repeats its place.
    pub second: Arc<str>,
    /// Their host.
    pub host: Arc<str>,
    /// Their prefix.
    pub prefix: Arc<str>,
}

type Prefixes = FxHashMap<Arc<str>, Arc<Route>>;

/// The configuration in force, immutable.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: FxHashMap<Arc<str>, Prefixes>,
    services: FxHashMap<ServiceName, ServiceSpec>,
    limits: ClientLimits,
    len: usize,
}

impl RouteTable {
    /// Puts a table together.
    ///
    /// # Errors
    ///
    /// Two routes claim the same place.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = ServiceSpec>,
        limits: ClientLimits,
    ) -> Result<Self, DuplicateRoute> {
        let mut table = Self { version, limits, ..Self::default() };
        for route in routes {
            table.add(route)?;
        }
        table.services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Ok(table)
    }

    fn add(&mut self, route: Route) -> Result<(), DuplicateRoute> {
        let prefixes = self.hosts.entry(Arc::clone(&route.host)).or_default();
        let route = Arc::new(route);
        if let Some(first) = prefixes.insert(Arc::clone(&route.prefix), Arc::clone(&route)) {
            return Err(DuplicateRoute {
                first: Arc::clone(&first.name),
                second: Arc::clone(&route.name),
                host: Arc::clone(&route.host),
                prefix: Arc::clone(&route.prefix),
            });
        }
        self.len += 1;
        Ok(())
    }

    /// The version, which only grows.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(FxHashMap::values).map(AsRef::as_ref)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// How many routes it has.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether it has no route.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// What callers may send.
    #[must_use]
    pub const fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// What is configured of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// The route with the longest prefix that begins `path`. `host` may carry a port, `path` a query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let prefixes = self.prefixes(host)?;
        let ends = path.bytes().enumerate().rev().filter(|(_, it)| *it == b'/');
        ends.map(|(at, _)| &path[..=at]).find_map(|it| prefixes.get(it))
    }

    fn prefixes(&self, host: &str) -> Option<&Prefixes> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self.hosts.get(host) {
            Some(prefixes) => Some(prefixes),
            None => self.hosts.get(host.to_ascii_lowercase().as_str()),
        }
    }
}
