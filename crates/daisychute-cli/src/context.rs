//! Options and helpers that the commands share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use daisychute_core::{DeploymentName, RegionName};
use daisychute_store::{CallError, ClientSettings, Object, ObjectClient, ObjectKind, WriteId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use uuid::Uuid;

use crate::args::SharedOptions;
use crate::error::CliError;
use crate::output::{self, CommandOutput, OutputFormat};

/// Timeout of one call to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// The shared options of a command, and what is derived from them.
pub(crate) struct Context {
    options: SharedOptions,
}

impl Context {
    pub(crate) const fn new(options: SharedOptions) -> Self {
        Self { options }
    }

    /// A client of the platform's object API; fails if no URL is given.
    pub(crate) fn client(&self) -> Result<ObjectClient, CliError> {
        self.optional_client().ok_or(missing_option("platform", "DAISYCHUTE_PLATFORM"))
    }

    /// A client of the platform's object API; `None` if no URL is given.
    pub(crate) fn optional_client(&self) -> Option<ObjectClient> {
        let url = self.options.platform.as_deref()?;
        Some(ObjectClient::new(ClientSettings::new(url).call_timeout(CALL_TIMEOUT)))
    }

    pub(crate) fn deployment(&self) -> Result<&DeploymentName, CliError> {
        self.options
            .deployment
            .as_ref()
            .ok_or(missing_option("deployment", "DAISYCHUTE_DEPLOYMENT"))
    }

    pub(crate) fn region(&self) -> Result<&RegionName, CliError> {
        self.options.region.as_ref().ok_or(missing_option("region", "DAISYCHUTE_REGION"))
    }

    /// Name of the deployment; `None` if not given.
    pub(crate) fn optional_deployment(&self) -> Option<&DeploymentName> {
        self.options.deployment.as_ref()
    }

    /// Name of the region; `None` if not given.
    pub(crate) fn optional_region(&self) -> Option<&RegionName> {
        self.options.region.as_ref()
    }

    /// Admin addresses of the given entries.
    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.options.entries
    }

    pub(crate) const fn output(&self) -> OutputFormat {
        self.options.output
    }

    /// A new write id, unique to one write.
    pub(crate) fn write_id(&self) -> WriteId {
        WriteId::first(format!("{}/{}", self.options.writer, Uuid::now_v7()))
    }

    /// Prints the result of a command in the chosen format.
    pub(crate) fn show(&self, result: &impl CommandOutput) -> Result<(), CliError> {
        output::show(self.options.output, self.options.width, result)?;
        Ok(())
    }
}

const fn missing_option(option: &'static str, variable: &'static str) -> CliError {
    CliError::MissingOption { option, variable }
}

/// Reads an object; `None` if it does not exist.
pub(crate) async fn read(
    client: &ObjectClient,
    kind: ObjectKind,
    name: &str,
) -> Result<Option<Object>, CliError> {
    match client.read(kind, name).await {
        Ok(object) => Ok(Some(object)),
        Err(CallError::NotFound) => Ok(None),
        Err(error) => Err(CliError::Platform(error)),
    }
}

/// Parses the `spec` of an object.
pub(crate) fn parse<T: DeserializeOwned>(object: &Object) -> Result<T, CliError> {
    object.parse().map_err(|source| CliError::Malformed {
        object: format!("{}/{}", object.kind, object.metadata.name),
        source,
    })
}

/// Serializes a value as the `spec` of an object.
pub(crate) fn spec(value: &impl Serialize) -> Result<Value, CliError> {
    let json = serde_json::to_value(value);
    json.map_err(|source| CliError::Malformed { object: "the new content".to_owned(), source })
}

/// The name that a writer gave itself, without the `/` and the unique part that [`Context::write_id`] adds.
pub(crate) fn writer_name(writer: &str) -> Arc<str> {
    Arc::from(writer.split('/').next().unwrap_or_default())
}

/// Current time as RFC 3339 text, in UTC and whole seconds.
pub(crate) fn now() -> String {
    humantime::format_rfc3339_seconds(SystemTime::now()).to_string()
}
