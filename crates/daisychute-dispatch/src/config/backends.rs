//! Services that a route sends its requests to, by weight.

use daisychute_core::ServiceName;
use xxhash_rust::xxh3::xxh3_64;

/// A service of a route and its weight.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Backend {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Share of the route's requests, relative to the sum of all weights; 0 sends none.
    pub weight: u32,
}

/// The weighted services of a route. Never empty; the weights add up to more than zero.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(try_from = "Vec<Backend>", into = "Vec<Backend>")]
pub struct Backends {
    list: Vec<Backend>,
    total: u64,
}

/// Error for a list of backends without a weight above zero.
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
    /// Sends all requests to one service.
    #[must_use]
    pub fn single(service: ServiceName) -> Self {
        Self { list: vec![Backend { service, weight: 1 }], total: 1 }
    }

    /// Splits the requests by weight; `None` if no backend has a weight above zero.
    #[must_use]
    pub fn weighted(list: Vec<Backend>) -> Option<Self> {
        let total = list.iter().map(|it| u64::from(it.weight)).sum();
        (total > 0).then_some(Self { list, total })
    }

    /// Returns the service for a request id. The same id always gets the same service while the weights are unchanged.
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

    /// Whether requests may be sent to this service.
    #[must_use]
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.list.iter().any(|it| it.service == *service && it.weight > 0)
    }

    /// Whether one service receives all requests.
    #[must_use]
    pub fn is_single(&self) -> bool {
        self.list.iter().filter(|it| it.weight > 0).count() == 1
    }

    /// Returns all backends in configured order.
    #[must_use]
    pub fn list(&self) -> &[Backend] {
        &self.list
    }
}
