//! The services that a route may use.

use daisychute_core::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// One service of a route, with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the weights of the route's other services.
    pub weight: u32,
}

/// The services of a route. Never empty, and the weights add up to more than zero.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Vec<Backend>", into = "Vec<Backend>")]
pub struct Backends {
    list: Vec<Backend>,
    total: u64,
}

/// No backend of a route has a weight above zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no backend has a weight above zero")]
pub struct ZeroWeightError;

impl TryFrom<Vec<Backend>> for Backends {
    type Error = ZeroWeightError;

    fn try_from(list: Vec<Backend>) -> Result<Self, ZeroWeightError> {
        Self::weighted(list).ok_or(ZeroWeightError)
    }
}

impl From<Backends> for Vec<Backend> {
    fn from(backends: Backends) -> Self {
        backends.list
    }
}

impl Backends {
    /// All requests go to one service.
    #[must_use]
    pub fn single(service: ServiceName) -> Self {
        Self { list: vec![Backend { service, weight: 1 }], total: 1 }
    }

    /// Splits the requests by weight; none if no backend has a weight above zero.
    #[must_use]
    pub fn weighted(list: Vec<Backend>) -> Option<Self> {
        let total = list.iter().map(|it| u64::from(it.weight)).sum();
        (total > 0).then_some(Self { list, total })
    }

    /// The service of the request with this id. The same id gets the same service as long as the weights stand.
    #[must_use]
    pub fn pick(&self, id: &str) -> &ServiceName {
        let mut point = xxh3_64(id.as_bytes()) % self.total;
        for backend in &self.list {
            let weight = u64::from(backend.weight);
            if point < weight {
                return &backend.service;
            }
            point -= weight;
        }
        &self.list[0].service
    }

    /// All backends.
    #[must_use]
    pub fn list(&self) -> &[Backend] {
        &self.list
    }
}
