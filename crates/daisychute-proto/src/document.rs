//! Documents that live on the platform, passed from a process that has them to one that lacks them.

use bytes::Bytes;
use daisychute_core::Revision;
use serde::{Deserialize, Serialize};

/// Which document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration of the deployment.
    Configuration,
    /// The plan of the region.
    Plan,
}

/// Send me this document if yours is newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Which document.
    pub kind: DocumentKind,
    /// The revision that the sender has.
    pub have: Revision,
}

/// A document that lives on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Which document.
    pub kind: DocumentKind,
    /// Its revision.
    pub revision: Revision,
    /// Its JSON text.
    pub body: Bytes,
}
