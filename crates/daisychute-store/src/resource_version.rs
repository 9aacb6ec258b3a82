//! Version that the platform assigns to an object.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Opaque version of an object, or of a whole kind in a list. Only the platform knows the order of versions; clients
/// compare them for equality and pass them back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceVersion(Arc<str>);

impl ResourceVersion {
    /// The version as the platform wrote it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ResourceVersion {
    fn from(raw: &str) -> Self {
        Self(Arc::from(raw))
    }
}

impl fmt::Display for ResourceVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}
