//! Objects of the platform.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ResourceVersion, WriteId};

/// The group and version of every object.
const API_VERSION: &str = "daisychute.dev/v1";
const WRITER: &str = "writer";
const WRITE: &str = "write";

/// A kind of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Configurations, one for each deployment.
    Configurations,
    /// Configurations that were replaced, one object for each deployment.
    Histories,
    /// Drain requests of operators, one object for each region.
    Drains,
    /// Plans, one for each region.
    Plans,
    /// Leases.
    Leases,
    /// Claims of non-repeatable calls.
    Claims,
    /// Owners of idempotency keys.
    Owners,
    /// The platform's list of endpoints.
    Instances,
    /// What processes say of themselves.
    Statuses,
}

impl ObjectKind {
    /// The name of the kind in paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configurations => "configurations",
            Self::Histories => "histories",
            Self::Drains => "drains",
            Self::Plans => "plans",
            Self::Leases => "leases",
            Self::Claims => "claims",
            Self::Owners => "owners",
            Self::Instances => "instances",
            Self::Statuses => "statuses",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// What the platform keeps beside the content of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Its name, unique in its kind.
    #[serde(default = "no_name")]
    pub name: Arc<str>,
    /// Its version; none before it is created.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Further pairs, the write id among them.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

fn no_name() -> Arc<str> {
    Arc::from("")
}

/// An object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Object {
    /// The group and version of its kind.
    #[serde(default = "api_version")]
    pub api_version: String,
    /// Its kind.
    pub kind: ObjectKind,
    /// Its name, version and annotations.
    pub metadata: Metadata,
    /// Its content.
    #[serde(default)]
    pub spec: Value,
}

fn api_version() -> String {
    API_VERSION.to_owned()
}

impl Object {
    /// An object that is not on the platform yet.
    #[must_use]
    pub fn new(kind: ObjectKind, name: impl Into<Arc<str>>, spec: Value) -> Self {
        let metadata =
            Metadata { name: name.into(), resource_version: None, annotations: BTreeMap::new() };
        Self { api_version: api_version(), kind, metadata, spec }
    }

    /// The same object, to replace the one of this version.
    #[must_use]
    pub fn version(mut self, version: impl Into<Option<ResourceVersion>>) -> Self {
        self.metadata.resource_version = version.into();
        self
    }

    /// The same object, stamped with the write that makes it.
    #[must_use]
    pub fn set_write_id(mut self, write_id: &WriteId) -> Self {
        let annotations = &mut self.metadata.annotations;
        annotations.insert(WRITER.to_owned(), write_id.writer.to_string());
        annotations.insert(WRITE.to_owned(), write_id.write.to_string());
        self
    }

    /// The write that made this version, where the writer said so.
    #[must_use]
    pub fn write_id(&self) -> Option<WriteId> {
        let writer = self.metadata.annotations.get(WRITER)?;
        let write = self.metadata.annotations.get(WRITE)?.parse().ok()?;
        Some(WriteId { writer: Arc::from(writer.as_str()), write })
    }

    /// Its content as a typed value.
    ///
    /// # Errors
    ///
    /// The content is something else.
    pub fn parse<S: DeserializeOwned>(&self) -> Result<S, serde_json::Error> {
        S::deserialize(&self.spec)
    }
}

/// The objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectList {
    /// The version from which a watch sees what happened since.
    pub version: ResourceVersion,
    /// The objects, in the order of the platform.
    pub items: Vec<Object>,
}

/// What happened to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchKind {
    /// It was created.
    Added,
    /// It was replaced.
    Modified,
    /// It was deleted.
    Deleted,
    /// Nothing; the version tells how far the watch has come.
    Bookmark,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchEvent {
    /// What happened.
    pub kind: WatchKind,
    /// The version up to which the watch has come.
    pub version: ResourceVersion,
    /// The object; none in a bookmark.
    pub object: Option<Object>,
}
