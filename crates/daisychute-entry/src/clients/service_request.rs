//! Resolution of calls of plain services.

use daisychute_core::{Configuration, Route, RouteKind, Service};

use super::ClientError;

/// Path prefix of calls of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// A call of a plain service, resolved against the configuration.
#[derive(Debug, Clone, Copy)]
pub struct ServiceRequest<'a> {
    /// Service that the path names.
    pub service: &'a Service,
    /// Route of the service that matches the path.
    pub route: &'a Route,
    /// Path and query below the service, as sent to the endpoint.
    pub path: &'a str,
}

impl<'a> ServiceRequest<'a> {
    /// Whether a path is a call of a plain service.
    #[must_use]
    pub fn matches(path: &str) -> bool {
        path.starts_with(SERVICES_PREFIX)
    }

    /// Resolves `/services/<name>/<path>` to a service and its route.
    ///
    /// # Errors
    ///
    /// The configuration doesn't define the service, or the service has no matching route.
    pub fn resolve(path_and_query: &'a str, cfg: &'a Configuration) -> Result<Self, ClientError> {
        let rest = path_and_query.strip_prefix(SERVICES_PREFIX).ok_or(ClientError::NoSuchPath)?;
        let at = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(at);
        let service =
            cfg.services.get(name).ok_or_else(|| ClientError::NoSuchService(name.to_owned()))?;
        let no_route =
            || ClientError::NoSuchRoute { service: service.name.clone(), path: path.to_owned() };
        let route = service.route(path).ok_or_else(no_route)?;
        Ok(Self { service, route, path })
    }

    /// Whether the route allows the call to be run more than once.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        self.route.kind == RouteKind::Repeatable
    }
}
