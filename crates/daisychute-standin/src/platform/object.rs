//! Objects of the platform's API.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// API version of every object.
pub const API_VERSION: &str = "daisychute.dev/v1";

/// Metadata of an object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// Name of the object, unique within its kind.
    pub name: String,
    /// Version of the last change of the object; zero if it was never stored.
    #[serde(
        rename = "resourceVersion",
        default,
        serialize_with = "version_as_text",
        deserialize_with = "version_from_text"
    )]
    pub resource_version: u64,
    /// Annotations that clients set.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

/// An object of the API.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Always [`API_VERSION`].
    #[serde(rename = "apiVersion", default = "api_version")]
    pub api_version: String,
    /// Kind of the object, in the plural.
    #[serde(default)]
    pub kind: String,
    /// Name, version and annotations.
    pub metadata: Metadata,
    /// Content of the object, which the platform doesn't interpret.
    #[serde(default)]
    pub spec: Value,
}

impl Object {
    /// Creates an object that hasn't been stored.
    #[must_use]
    pub fn new(kind: &str, name: &str, spec: Value) -> Self {
        let metadata = Metadata { name: name.to_owned(), ..Metadata::default() };
        Self { api_version: api_version(), kind: kind.to_owned(), metadata, spec }
    }
}

fn api_version() -> String {
    API_VERSION.to_owned()
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "signature required by serde")]
fn version_as_text<S: Serializer>(version: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(version)
}

fn version_from_text<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = Option::<String>::deserialize(deserializer)?;
    match text.as_deref() {
        None | Some("") => Ok(0),
        Some(text) => text.parse().map_err(serde::de::Error::custom),
    }
}
