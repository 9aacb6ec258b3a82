//! Replicated documents: the store has the originals, and processes pass copies on to those that lack them.

use bytes::Bytes;
use daisychute_core::Revision;
use serde::{Deserialize, Serialize};

/// The kinds of replicated documents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The configuration of the deployment.
    Configuration,
    /// The planner's plan for the region.
    Plan,
}

/// Requests a document if the receiver's revision is newer than `have`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The kind of the requested document.
    pub kind: DocumentKind,
    /// The revision that the sender has.
    pub have: Revision,
}

/// A copy of a replicated document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The kind of the document.
    pub kind: DocumentKind,
    /// The revision of this copy.
    pub revision: Revision,
    /// The content as JSON text.
    pub body: Bytes,
}
