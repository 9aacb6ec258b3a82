//! `apply`: checks a configuration file and makes it the accepted configuration.

use std::fmt;
use std::path::Path;

use daisychute_core::{Configuration, DeploymentName, Revision};
use daisychute_settings::{
    ConfigurationDiff, ConfigurationFile, EndpointCapability, unmeetable_targets,
};
use daisychute_store::{ConfigurationDocument, Object, ObjectClient, ObjectKind, WriteId};
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::commit::{CommitOutcome, commit};
use crate::context::{self, Context, read, spec};
use crate::error::{CliError, Exit};
use crate::history::{self, ConfigurationEntry, History};
use crate::output::CommandOutput;

/// The accepted configuration is not the one that the file was made from.
#[derive(Debug, Error, Diagnostic)]
#[error(
    "{file} is made from revision {base} of {deployment}, and revision {accepted} by {writer} was \
     accepted since\n\n{changes}"
)]
#[diagnostic(help(
    "nothing was changed; take over what you want to keep from `daisychute get`, then apply again"
))]
pub(crate) struct Conflict {
    deployment: DeploymentName,
    file: String,
    base: Revision,
    accepted: Revision,
    writer: String,
    changes: ConflictingChanges,
}

/// The changes of the file and of the operator who applied first.
#[derive(Debug)]
enum ConflictingChanges {
    /// Changes of each side against the revision that both started from.
    FromBase { theirs: ConfigurationDiff, mine: ConfigurationDiff },
    /// Changes of the file against the accepted revision, if the one it was made from is no longer in the history.
    FromAccepted(ConfigurationDiff),
}

impl fmt::Display for ConflictingChanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::FromBase { theirs, mine } => {
                write!(f, "accepted since:\n{theirs}\nthe file:\n{mine}")
            }
            Self::FromAccepted(mine) => {
                write!(f, "the file, against the accepted revision:\n{mine}")
            }
        }
    }
}

/// Result of `apply`.
#[derive(Serialize)]
struct Applied {
    deployment: DeploymentName,
    revision: Revision,
    changes: ConfigurationDiff,
    /// Whether the accepted configuration equals the file, so that nothing was written.
    unchanged: bool,
    /// Whether a later configuration was accepted before this command ended.
    replaced: bool,
}

impl CommandOutput for Applied {
    fn text(&self, _width: u16) -> String {
        let Self { deployment, revision, changes, .. } = self;
        if self.unchanged {
            return format!("{deployment}: nothing to change, revision {revision} stays accepted");
        }
        let replaced = if self.replaced { ", and another one has replaced it since" } else { "" };
        format!("{changes}{deployment}: revision {revision} is accepted{replaced}")
    }
}

/// The part of an endpoint record that states the latencies it can reach.
#[derive(Deserialize)]
struct EndpointAbility {
    #[serde(default)]
    ability: EndpointCapability,
}

pub(super) async fn apply(cx: &Context, path: &Path) -> Result<Exit, CliError> {
    let deployment = cx.deployment()?;
    let client = cx.client()?;
    let file = ConfigurationFile::load(path)?;
    check_targets(&client, file.configuration()).await?;
    let present = read(&client, ObjectKind::Configurations, deployment.as_str()).await?;
    let apply = Apply { client, deployment, path, file };
    let applied = apply.write_over(present, &cx.write_id()).await?;
    cx.show(&applied)?;
    Ok(Exit::Done)
}

/// Fails if no endpoint that the platform lists can meet the latency targets.
async fn check_targets(
    client: &ObjectClient,
    configuration: &Configuration,
) -> Result<(), CliError> {
    let listed = client.list(ObjectKind::Instances, "").await.map_err(CliError::Platform)?;
    let ability =
        |it: &Object| it.parse::<EndpointAbility>().map(|it| it.ability).unwrap_or_default();
    let abilities: Vec<EndpointCapability> = listed.items.iter().map(ability).collect();
    let targets = unmeetable_targets(configuration, &abilities);
    if targets.is_empty() { Ok(()) } else { Err(CliError::Unmeetable { targets }) }
}

/// One run of `apply`.
struct Apply<'a> {
    client: ObjectClient,
    deployment: &'a DeploymentName,
    path: &'a Path,
    file: ConfigurationFile,
}

impl Apply<'_> {
    /// Makes the file the accepted configuration in place of `present`.
    async fn write_over(
        &self,
        present: Option<Object>,
        write_id: &WriteId,
    ) -> Result<Applied, CliError> {
        let before = present.as_ref().map(ConfigurationEntry::from_object).transpose()?;
        self.check_base(before.as_ref()).await?;
        let accepted = before.as_ref().map_or(Revision::ZERO, |it| it.revision);
        let changes = self.changes_from(before.as_ref());
        if changes.is_empty() && before.is_some() {
            return Ok(self.applied(accepted, changes).unchanged());
        }
        if let Some(before) = &before {
            history::add(&self.client, self.deployment, before, write_id).await?;
        }
        let object = self.new_object(accepted.next(), present.as_ref())?;
        match commit(&self.client, object, write_id).await? {
            CommitOutcome::Applied => Ok(self.applied(accepted.next(), changes)),
            CommitOutcome::Superseded(found) => {
                self.resolve_superseded(before, found.as_deref(), write_id, changes).await
            }
        }
    }

    /// Fails with a conflict if the file was made from another revision than the accepted one.
    async fn check_base(&self, before: Option<&ConfigurationEntry>) -> Result<(), CliError> {
        let Some(base) = self.file.base() else { return Ok(()) };
        let accepted = before.map_or(Revision::ZERO, |it| it.revision);
        if base == accepted {
            return Ok(());
        }
        let history = History::read(&self.client, self.deployment).await?;
        Err(self.conflict(base, history.find(base), before))
    }

    /// Finds out whether a write took effect and was then replaced, given that the object holds another write.
    async fn resolve_superseded(
        &self,
        before: Option<ConfigurationEntry>,
        found: Option<&Object>,
        write_id: &WriteId,
        changes: ConfigurationDiff,
    ) -> Result<Applied, CliError> {
        let history = History::read(&self.client, self.deployment).await?;
        if let Some(own) = history.entries.iter().find(|it| it.was_written_by(write_id)) {
            return Ok(self.applied(own.revision, changes).replaced());
        }
        let accepted = found.map(ConfigurationEntry::from_object).transpose()?;
        let base = before.as_ref().map_or(Revision::ZERO, |it| it.revision);
        Err(self.conflict(base, before.as_ref(), accepted.as_ref()))
    }

    fn new_object(&self, revision: Revision, present: Option<&Object>) -> Result<Object, CliError> {
        let configuration = self.file.configuration().clone();
        let document = ConfigurationDocument { revision, configuration };
        let name = self.deployment.as_str();
        let mut object = Object::new(ObjectKind::Configurations, name, spec(&document)?);
        object
            .metadata
            .annotations
            .insert(ConfigurationEntry::ACCEPTED_AT.to_owned(), context::now());
        Ok(object.version(present.and_then(|it| it.metadata.resource_version.clone())))
    }

    fn changes_from(&self, before: Option<&ConfigurationEntry>) -> ConfigurationDiff {
        let empty = Configuration::default();
        let before = before.map_or(&empty, |it| &it.configuration);
        ConfigurationDiff::between(before, self.file.configuration())
    }

    /// Builds the conflict error. `base` is the configuration of `base_revision`, `None` if the history lacks it.
    fn conflict(
        &self,
        base_revision: Revision,
        base: Option<&ConfigurationEntry>,
        accepted: Option<&ConfigurationEntry>,
    ) -> CliError {
        let empty = Configuration::default();
        let theirs = accepted.map_or(&empty, |it| &it.configuration);
        let mine = self.file.configuration();
        let base = base.map(|it| &it.configuration);
        let base = base.or((base_revision == Revision::ZERO).then_some(&empty));
        let changes = match base {
            Some(base) => ConflictingChanges::FromBase {
                theirs: ConfigurationDiff::between(base, theirs),
                mine: ConfigurationDiff::between(base, mine),
            },
            None => ConflictingChanges::FromAccepted(ConfigurationDiff::between(theirs, mine)),
        };
        CliError::Conflict(Box::new(Conflict {
            deployment: self.deployment.clone(),
            file: self.path.display().to_string(),
            base: base_revision,
            accepted: accepted.map_or(Revision::ZERO, |it| it.revision),
            writer: accepted.map_or_else(|| "nobody".to_owned(), ConfigurationEntry::writer_name),
            changes,
        }))
    }

    fn applied(&self, revision: Revision, changes: ConfigurationDiff) -> Applied {
        let deployment = self.deployment.clone();
        Applied { deployment, revision, changes, unchanged: false, replaced: false }
    }
}

impl Applied {
    const fn unchanged(mut self) -> Self {
        self.unchanged = true;
        self
    }

    const fn replaced(mut self) -> Self {
        self.replaced = true;
        self
    }
}
