//! What the directory holds.

use std::net::SocketAddr;
use std::sync::Arc;

use daisychute_dispatch::{Endpoint, RouteTable};

/// The collections that a front watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Collection {
    /// The newest configuration.
    Configuration,
    /// One record for each endpoint.
    Endpoints,
    /// One record for each front.
    Fronts,
}

impl Collection {
    /// Its name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Endpoints => "endpoints",
            Self::Fronts => "fronts",
        }
    }
}

/// One record, checked.
#[derive(Debug, Clone)]
pub enum Record {
    /// A configuration.
    Configuration(Arc<RouteTable>),
    /// An endpoint.
    Endpoint(Endpoint),
    /// The address at which another front listens for its peers.
    Front(SocketAddr),
}
