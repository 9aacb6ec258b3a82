//! A call of a plain service as a caller asks for it.

use daisychute_core::{Configuration, Route, RouteKind, Service};

use super::ClientError;

/// Path prefix of all plain services.
const PREFIX: &str = "/services/";

/// A call of a plain service, resolved against the configuration.
#[derive(Debug, Clone, Copy)]
pub struct ServiceRequest<'a> {
    /// The service.
    pub service: &'a Service,
    /// Its route.
    pub route: &'a Route,
    /// The path and query below the service.
    pub path: &'a str,
}

impl<'a> ServiceRequest<'a> {
    /// Whether a path belongs to a plain service.
    #[must_use]
    pub fn matches(path: &str) -> bool {
        path.starts_with(PREFIX)
    }

    /// Resolves `/services/<name>/<path>`.
    ///
    /// # Errors
    ///
    /// The configuration has no such service or route.
    pub fn resolve(path_and_query: &'a str, cfg: &'a Configuration) -> Result<Self, ClientError> {
        let rest = path_and_query.strip_prefix(PREFIX).ok_or(ClientError::NoSuchPath)?;
        let at = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(at);
        let service =
            cfg.services.get(name).ok_or_else(|| ClientError::NoSuchService(name.to_owned()))?;
        let no_route =
            || ClientError::NoSuchRoute { service: service.name.clone(), path: path.to_owned() };
        let route = service.route(path).ok_or_else(no_route)?;
        Ok(Self { service, route, path })
    }

    /// Whether running it again does no harm.
    #[must_use]
    pub fn repeatable(&self) -> bool {
        self.route.kind == RouteKind::Repeatable
    }
}
