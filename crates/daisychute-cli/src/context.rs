//! What commands work with.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use daisychute_core::{DeploymentName, RegionName};
use daisychute_store::{CallError, ClientSettings, Object, ObjectClient, ObjectKind, WriteId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use uuid::Uuid;

use crate::args::Shared;
use crate::error::CliError;
use crate::output::{self, Answer, Output};

/// How long one call to the platform may take.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// What commands work with.
pub(crate) struct Context {
    shared: Shared,
}

impl Context {
    pub(crate) const fn new(shared: Shared) -> Self {
        Self { shared }
    }

    /// The client of the platform.
    pub(crate) fn client(&self) -> Result<ObjectClient, CliError> {
        self.optional_client().ok_or(missing("platform", "DAISYCHUTE_PLATFORM"))
    }

    /// The client of the platform, where its address is known.
    pub(crate) fn optional_client(&self) -> Option<ObjectClient> {
        let url = self.shared.platform.as_deref()?;
        Some(ObjectClient::new(ClientSettings::new(url).call_timeout(CALL_DEADLINE)))
    }

    pub(crate) fn deployment(&self) -> Result<&DeploymentName, CliError> {
        self.shared.deployment.as_ref().ok_or(missing("deployment", "DAISYCHUTE_DEPLOYMENT"))
    }

    pub(crate) fn region(&self) -> Result<&RegionName, CliError> {
        self.shared.region.as_ref().ok_or(missing("region", "DAISYCHUTE_REGION"))
    }

    /// The deployment, where its name is known.
    pub(crate) fn optional_deployment(&self) -> Option<&DeploymentName> {
        self.shared.deployment.as_ref()
    }

    /// The region, where its name is known.
    pub(crate) fn optional_region(&self) -> Option<&RegionName> {
        self.shared.region.as_ref()
    }

    /// The admin addresses of entries.
    pub(crate) fn entries(&self) -> &[SocketAddr] {
        &self.shared.entries
    }

    pub(crate) const fn output(&self) -> Output {
        self.shared.output
    }

    /// A write id that no other write has.
    pub(crate) fn write_id(&self) -> WriteId {
        WriteId::first(format!("{}/{}", self.shared.writer, Uuid::now_v7()))
    }

    /// Shows an answer.
    pub(crate) fn show(&self, answer: &impl Answer) -> Result<(), CliError> {
        output::show(self.shared.output, self.shared.width, answer)?;
        Ok(())
    }
}

const fn missing(option: &'static str, variable: &'static str) -> CliError {
    CliError::MissingOption { option, variable }
}

/// Reads an object, where there is one.
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

/// The content of an object.
pub(crate) fn parse<T: DeserializeOwned>(object: &Object) -> Result<T, CliError> {
    object.parse().map_err(|source| CliError::Malformed {
        object: format!("{}/{}", object.kind, object.metadata.name),
        source,
    })
}

/// A value as the content of an object.
pub(crate) fn spec(value: &impl Serialize) -> Result<Value, CliError> {
    let json = serde_json::to_value(value);
    json.map_err(|source| CliError::Malformed { object: "the new content".to_owned(), source })
}

/// The person or program behind a writer, without the part that makes the write id unique.
pub(crate) fn writer_name(writer: &str) -> Arc<str> {
    Arc::from(writer.split('/').next().unwrap_or_default())
}

/// The present time as text, in UTC and whole seconds.
pub(crate) fn now() -> String {
    humantime::format_rfc3339_seconds(SystemTime::now()).to_string()
}
