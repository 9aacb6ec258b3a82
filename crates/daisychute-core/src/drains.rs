//! Drains that operators requested.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::EndpointName;

/// Endpoints of a region that operators want drained: the content of the region's object of kind `drains`.
///
/// An endpoint that is missing, or listed with `false`, is not to be drained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Whether each listed endpoint is to be drained.
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointName, bool>,
}

impl Drains {
    /// Whether an endpoint is to be drained.
    #[must_use]
    pub fn contains(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.get(endpoint).copied().unwrap_or(false)
    }

    /// Requests the drain of an endpoint, or cancels that request. Returns whether anything changed.
    pub fn set(&mut self, endpoint: EndpointName, drain: bool) -> bool {
        if self.contains(&endpoint) == drain {
            return false;
        }
        if drain {
            self.endpoints.insert(endpoint, true);
        } else {
            self.endpoints.remove(&endpoint);
        }
        true
    }
}
