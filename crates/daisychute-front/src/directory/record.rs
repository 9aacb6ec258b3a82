//! The records of the directory.

use std::net::SocketAddr;
use std::sync::Arc;

use daisychute_dispatch::{Endpoint, RouteTable};

/// The collections that a front watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Collection {
    /// The routes and limits; only the newest configuration counts.
    Configuration,
    /// The endpoints, one record each.
    Endpoints,
    /// The fronts, one record each.
    Fronts,
}

impl Collection {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Fronts => "fronts",
        }
    }
}

/// A validated record.
#[derive(Debug, Clone)]
pub enum Record {
    /// The routes, services and limits of a configuration.
    Configuration(Arc<RouteTable>),
    /// An endpoint with its address, service and state.
    Endpoint(Endpoint),
    /// The address at which a front receives heartbeats.
    Front(SocketAddr),
}
