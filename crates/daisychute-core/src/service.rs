//! Plain services and their routes.

use serde::{Deserialize, Serialize};

use crate::{ClassName, ServiceName};

/// Whether a call may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// The call may be run again without harm.
    Repeatable,
    /// The call must run at most once.
    NonRepeatable,
}

/// Rule for the calls below one path of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix below the service's own, for example `/counts`.
    // Invariant: starts with '/'.
    pub path: String,
    /// Whether calls may run more than once.
    pub kind: RouteKind,
    /// Class of the calls; `None` selects the default class of the tenant.
    pub class: Option<ClassName>,
}

/// A plain service that clients reach through the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service; clients reach it at `/services/<name>/`.
    pub name: ServiceName,
    /// Routes of the service. The longest matching prefix applies.
    pub routes: Vec<Route>,
}

impl Service {
    /// Returns the route of a path below the service. Callers treat a path without a route as non-repeatable.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|it| matches_prefix(path, &it.path))
            .max_by_key(|it| it.path.len())
    }
}

fn matches_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?'])
}
