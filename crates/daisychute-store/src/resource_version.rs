//! The version that the platform gives an object.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The version of an object, or of a whole kind in a list. Only the platform knows its order; readers compare for
/// equality and pass it back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResourceVersion(Arc<str>);

impl ResourceVersion {
    /// The version as text.
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
