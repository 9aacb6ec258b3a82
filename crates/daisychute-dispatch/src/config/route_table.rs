//! Lookup of routes and services in one version of the configuration.

use std::sync::Arc;

use daisychute_core::ServiceName;
use rustc_hash::FxHashMap;

use crate::{Accounts, ClientLimits, Route, ServiceSpec};

/// Error for two routes with the same host and prefix.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("routes {first:?} and {second:?} both claim {host}{prefix}")]
pub struct DuplicateRoute {
    /// Name of the route that comes first in the configuration.
    pub first: Arc<str>,
    /// Name of the later route.
    pub second: Arc<str>,
    /// Host that both routes name.
    pub host: Arc<str>,
    /// Path prefix that both routes name.
    pub prefix: Arc<str>,
}

type RoutesByPrefix = FxHashMap<Arc<str>, Arc<Route>>;

/// Routes, services and client limits of one configuration version; immutable.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    version: u64,
    hosts: FxHashMap<Arc<str>, RoutesByPrefix>,
    services: FxHashMap<ServiceName, ServiceSpec>,
    limits: ClientLimits,
    accounts: Option<Accounts>,
    len: usize,
}

impl RouteTable {
    /// Builds a table.
    ///
    /// # Errors
    ///
    /// Fails if two routes have the same host and prefix.
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

    /// Sets the client accounts. With accounts, even an empty set, requests need a key unless their route is public.
    #[must_use]
    pub fn with_accounts(mut self, accounts: impl Into<Option<Accounts>>) -> Self {
        self.accounts = accounts.into();
        self
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

    /// Returns the version of the configuration, which only increases.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns all routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(FxHashMap::values).map(AsRef::as_ref)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether the table has no route.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the client accounts; `None` if the deployment has none, so that requests need no key.
    #[must_use]
    pub const fn accounts(&self) -> Option<&Accounts> {
        self.accounts.as_ref()
    }

    /// Returns the limits on client requests and connections.
    #[must_use]
    pub const fn limits(&self) -> &ClientLimits {
        &self.limits
    }

    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the route of `host` with the longest prefix of `path`. `host` may carry a port, `path` a query.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let prefixes = self.prefixes(host)?;
        let slashes = path.bytes().enumerate().rev().filter(|(_, it)| *it == b'/');
        slashes.map(|(at, _)| &path[..=at]).find_map(|it| prefixes.get(it))
    }

    fn prefixes(&self, host: &str) -> Option<&RoutesByPrefix> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self.hosts.get(host) {
            Some(prefixes) => Some(prefixes),
            None => self.hosts.get(host.to_ascii_lowercase().as_str()),
        }
    }
}
