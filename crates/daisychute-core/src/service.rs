//! Plain services and their routes.

use serde::{Deserialize, Serialize};

use crate::{ClassName, ServiceName};

/// Whether a call may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// Running it again does no harm.
    Repeatable,
    /// It must run at most once.
    NonRepeatable,
}

/// A path below a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix below the service's own, for example `/counts`.
    // Invariant: starts with '/'.
    pub path: String,
    /// Whether its calls may be repeated.
    pub kind: RouteKind,
    /// The class of its calls; the tenant's default class where none is given.
    pub class: Option<ClassName>,
}

/// A plain service that callers reach through the entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its name; callers reach it at `/services/<name>/`.
    pub name: ServiceName,
    /// Its routes. The longest matching prefix wins.
    pub routes: Vec<Route>,
}

impl Service {
    /// The route of a path below the service. A path that matches none is treated as non-repeatable by callers of
    /// this method.
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
