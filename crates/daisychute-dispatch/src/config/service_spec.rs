//! Configured properties of a service.

use std::sync::Arc;

use daisychute_core::ServiceName;

use crate::EngineSpec;

/// A service that routes may send requests to.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceSpec {
    /// Name of the service, unique in the configuration.
    pub name: ServiceName,
    /// Path of the health check on each endpoint of the service.
    pub health_path: Arc<str>,
    /// Maximum number of connections that one endpoint accepts, from all its clients together.
    pub max_connections: u32,
    /// Properties of the service's engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
