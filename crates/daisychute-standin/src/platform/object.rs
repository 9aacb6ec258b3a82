//! Objects of the API.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::Value;

/// The API version of every object.
pub const API_VERSION: &str = "daisychute.dev/v1";

/// What the platform keeps about an object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Metadata {
    /// The object's name, unique in its kind.
    pub name: String,
    /// The version of the last change.
    #[serde(
        rename = "resourceVersion",
        default,
        serialize_with = "version_as_text",
        deserialize_with = "version_from_text"
    )]
    pub resource_version: u64,
    /// What clients note beside the spec.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub annotations: BTreeMap<String, String>,
}

/// One object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Always [`API_VERSION`].
    #[serde(rename = "apiVersion", default = "api_version")]
    pub api_version: String,
    /// The plural name of its kind.
    #[serde(default)]
    pub kind: String,
    /// What the platform keeps about it.
    pub metadata: Metadata,
    /// What it says.
    #[serde(default)]
    pub spec: Value,
}

impl Object {
    /// An object that was never stored.
    #[must_use]
    pub fn new(kind: &str, name: &str, spec: Value) -> Self {
        let metadata = Metadata { name: name.to_owned(), ..Metadata::default() };
        Self { api_version: api_version(), kind: kind.to_owned(), metadata, spec }
    }
}

fn api_version() -> String {
    API_VERSION.to_owned()
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde calls")]
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
