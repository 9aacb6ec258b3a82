//! `get` and `diff`: print the accepted configuration, or compare it with a file.

use std::path::Path;

use daisychute_core::{Configuration, Revision};
use daisychute_settings::{ConfigurationDiff, ConfigurationFile};
use daisychute_store::ObjectKind;
use serde::Serialize;

use crate::context::{Context, read};
use crate::error::{CliError, Exit};
use crate::history::ConfigurationEntry;
use crate::output::CommandOutput;

#[derive(Serialize)]
#[serde(transparent)]
struct AcceptedConfiguration(ConfigurationEntry);

impl CommandOutput for AcceptedConfiguration {
    fn text(&self, _width: u16) -> String {
        let configuration = self.0.configuration.clone();
        ConfigurationFile::from(configuration).based_on(self.0.revision).to_string()
    }
}

#[derive(Serialize)]
struct Difference {
    revision: Revision,
    changes: ConfigurationDiff,
}

impl CommandOutput for Difference {
    fn text(&self, _width: u16) -> String {
        self.changes.to_string()
    }
}

pub(super) async fn get(cx: &Context) -> Result<Exit, CliError> {
    let entry = read_accepted(cx).await?;
    let deployment = cx.deployment()?.clone();
    let entry = entry.ok_or(CliError::NoConfiguration { deployment })?;
    cx.show(&AcceptedConfiguration(entry))?;
    Ok(Exit::Done)
}

pub(super) async fn diff(cx: &Context, path: &Path) -> Result<Exit, CliError> {
    let file = ConfigurationFile::load(path)?;
    let entry = read_accepted(cx).await?;
    let empty = Configuration::default();
    let before = entry.as_ref().map_or(&empty, |it| &it.configuration);
    let changes = ConfigurationDiff::between(before, file.configuration());
    let exit = if changes.is_empty() { Exit::Done } else { Exit::Different };
    let revision = entry.as_ref().map_or(Revision::ZERO, |it| it.revision);
    cx.show(&Difference { revision, changes })?;
    Ok(exit)
}

/// Reads the accepted configuration; `None` before the first `apply`.
pub(super) async fn read_accepted(cx: &Context) -> Result<Option<ConfigurationEntry>, CliError> {
    let deployment = cx.deployment()?;
    let client = cx.client()?;
    let object = read(&client, ObjectKind::Configurations, deployment.as_str()).await?;
    object.as_ref().map(ConfigurationEntry::from_object).transpose()
}
