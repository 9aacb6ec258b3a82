//! Objects of the platform's object API.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{ResourceVersion, WriteId};

/// API group and version of every object.
const API_VERSION: &str = "daisychute.dev/v1";
/// Annotations that hold a [`WriteId`].
const WRITER_ANNOTATION: &str = "writer";
const WRITE_ANNOTATION: &str = "write";

/// Kind of an object: the collection in which the platform stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ObjectKind {
    /// Current configurations, one object per deployment.
    Configurations,
    /// Earlier configurations, one object per deployment.
    Histories,
    /// Drain requests of operators, one object per region.
    Drains,
    /// Plans of the planners, one object per region.
    Plans,
    /// Leases, one object per region or duty.
    Leases,
    /// State that the holder of a duty leaves to its successor, one object per duty.
    Duties,
    /// Claims that guard non-repeatable calls against a second execution.
    Claims,
    /// Owners of idempotency keys.
    Owners,
    /// Endpoint records of the platform.
    Instances,
    /// Status objects that processes write about themselves.
    Statuses,
}

impl ObjectKind {
    /// Name of the kind in URL paths and in serialized objects.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configurations => "configurations",
            Self::Histories => "histories",
            Self::Drains => "drains",
            Self::Plans => "plans",
            Self::Leases => "leases",
            Self::Duties => "duties",
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

/// Name, version and annotations of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Metadata {
    /// Name of the object, unique within its kind; empty if the platform sends none, as for a list.
    #[serde(default = "empty_name")]
    pub name: Arc<str>,
    /// Version of the object; `None` before the platform has created it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<ResourceVersion>,
    /// Free key-value pairs; [`Object::set_write_id`] stores the write id here.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

fn empty_name() -> Arc<str> {
    Arc::from("")
}

/// A versioned object on the platform.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Object {
    /// API group and version, `daisychute.dev/v1`.
    #[serde(default = "api_version")]
    pub api_version: String,
    /// Collection that the object belongs to.
    pub kind: ObjectKind,
    /// Name, version and annotations, which the platform reads too.
    pub metadata: Metadata,
    /// Content of the object as JSON; see [`Object::parse`].
    #[serde(default)]
    pub spec: Value,
}

fn api_version() -> String {
    API_VERSION.to_owned()
}

impl Object {
    /// An object without a version: writing it creates it.
    #[must_use]
    pub fn new(kind: ObjectKind, name: impl Into<Arc<str>>, spec: Value) -> Self {
        let metadata =
            Metadata { name: name.into(), resource_version: None, annotations: BTreeMap::new() };
        Self { api_version: api_version(), kind, metadata, spec }
    }

    /// Sets the version that a write of this object replaces; `None` to create the object.
    #[must_use]
    pub fn version(mut self, version: impl Into<Option<ResourceVersion>>) -> Self {
        self.metadata.resource_version = version.into();
        self
    }

    /// Records the write that creates this version in the annotations.
    #[must_use]
    pub fn set_write_id(mut self, write_id: &WriteId) -> Self {
        let annotations = &mut self.metadata.annotations;
        annotations.insert(WRITER_ANNOTATION.to_owned(), write_id.writer.to_string());
        annotations.insert(WRITE_ANNOTATION.to_owned(), write_id.write.to_string());
        self
    }

    /// The write that created this version; `None` if the annotations hold no valid write id.
    #[must_use]
    pub fn write_id(&self) -> Option<WriteId> {
        let writer = self.metadata.annotations.get(WRITER_ANNOTATION)?;
        let write = self.metadata.annotations.get(WRITE_ANNOTATION)?.parse().ok()?;
        Some(WriteId { writer: Arc::from(writer.as_str()), write })
    }

    /// Deserializes the content.
    ///
    /// # Errors
    ///
    /// The content doesn't match the type.
    pub fn parse<S: DeserializeOwned>(&self) -> Result<S, serde_json::Error> {
        S::deserialize(&self.spec)
    }
}

/// Result of listing the objects of a kind.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectList {
    /// Version of the list. A watch from here delivers every later change.
    pub version: ResourceVersion,
    /// The listed objects, in the order in which the platform returned them.
    pub items: Vec<Object>,
}

/// Type of a watch event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum WatchKind {
    /// The object was created.
    Added,
    /// The object was replaced.
    Modified,
    /// The object was deleted.
    Deleted,
    /// No object changed; the event only reports the version that the watch has reached.
    Bookmark,
}

/// A change or bookmark delivered by a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct WatchEvent {
    /// How the object changed, or that this is a bookmark.
    pub kind: WatchKind,
    /// Version that the watch has reached; a new watch may start from here.
    pub version: ResourceVersion,
    /// The changed object; `None` in a bookmark.
    pub object: Option<Object>,
}
