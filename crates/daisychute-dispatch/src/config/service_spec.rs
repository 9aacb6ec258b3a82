//! What the configuration says of a service.

use std::sync::Arc;

use daisychute_core::ServiceName;

use crate::EngineSpec;

/// One service.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// The path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// Its engines; none for a plain service.
    pub engine: Option<EngineSpec>,
}
