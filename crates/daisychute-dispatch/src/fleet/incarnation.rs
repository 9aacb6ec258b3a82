//! Identity of one start of an endpoint, the same in all fronts.

use std::net::SocketAddr;

use daisychute_core::{EndpointName, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Endpoint;

/// One start of an endpoint. A record that differs in any field describes another start.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Incarnation {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Service that the endpoint runs.
    pub service: ServiceName,
    /// Start time of the endpoint, in Unix milliseconds; `None` if the directory doesn't say.
    pub started_at: Option<u64>,
}

impl Incarnation {
    /// Returns a hash that identifies this start among the fronts.
    #[must_use]
    pub fn id(&self) -> u64 {
        xxh3_64_with_seed(self.name.as_str().as_bytes(), self.started_at.unwrap_or_default())
    }

    /// Whether this is the start that the directory record describes.
    #[must_use]
    pub fn is(&self, endpoint: &Endpoint) -> bool {
        self.name == endpoint.name
            && self.address == endpoint.address
            && self.service == endpoint.service
            && self.started_at == endpoint.started_at
    }
}

impl From<&Endpoint> for Incarnation {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            name: endpoint.name.clone(),
            address: endpoint.address,
            service: endpoint.service.clone(),
            started_at: endpoint.started_at,
        }
    }
}
