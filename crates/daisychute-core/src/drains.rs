//! What operators ask to be drained.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::EndpointName;

/// The endpoints of a region that operators want drained: the content of the region's object of kind `drains`.
///
/// An endpoint that is not named, or that is named with `false`, is not to be drained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drains {
    /// Whether each endpoint is to be drained.
    #[serde(default)]
    pub endpoints: BTreeMap<EndpointName, bool>,
}

impl Drains {
    /// Whether this endpoint is to be drained.
    #[must_use]
    pub fn contains(&self, endpoint: &EndpointName) -> bool {
        self.endpoints.get(endpoint).copied().unwrap_or(false)
    }

    /// Asks for the drain of an endpoint, or takes the request back. Tells whether that changed anything.
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
