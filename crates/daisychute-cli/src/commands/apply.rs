//! `apply`: makes a file the accepted configuration.

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

use crate::commit::{Committed, commit};
use crate::context::{self, Context, read, spec};
use crate::error::{CliError, Exit};
use crate::history::{self, Entry, History};
use crate::output::Answer;

/// Another operator was first.
#[derive(Debug, Error, Diagnostic)]
#[error(
    "{file} is made from revision {base} of {deployment}, and revision {accepted} by {writer} was \
     accepted since\n\n{both}"
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
    both: Both,
}

/// What both sides want.
#[derive(Debug)]
enum Both {
    /// What each changes in the revision that both started from.
    FromBase { theirs: ConfigurationDiff, mine: ConfigurationDiff },
    /// What the file would change in the accepted revision, because the one it was made from is not kept.
    FromAccepted(ConfigurationDiff),
}

impl fmt::Display for Both {
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

#[derive(Serialize)]
struct Applied {
    deployment: DeploymentName,
    revision: Revision,
    changes: ConfigurationDiff,
    /// Whether the file says what was accepted already, so that nothing was written.
    unchanged: bool,
    /// Whether another configuration has replaced this one meanwhile.
    replaced: bool,
}

impl Answer for Applied {
    fn text(&self, _width: u16) -> String {
        let Self { deployment, revision, changes, .. } = self;
        if self.unchanged {
            return format!("{deployment}: nothing to change, revision {revision} stays accepted");
        }
        let replaced = if self.replaced { ", and another one has replaced it since" } else { "" };
        format!("{changes}{deployment}: revision {revision} is accepted{replaced}")
    }
}

/// The part of an endpoint record that tells what it can do.
#[derive(Deserialize)]
struct Able {
    #[serde(default)]
    ability: EndpointCapability,
}

pub(super) async fn apply(cx: &Context, path: &Path) -> Result<Exit, CliError> {
    let deployment = cx.deployment()?;
    let client = cx.client()?;
    let file = ConfigurationFile::load(path)?;
    check_abilities(&client, file.configuration()).await?;
    let present = read(&client, ObjectKind::Configurations, deployment.as_str()).await?;
    let apply = Apply { client, deployment, path, file };
    let applied = apply.onto(present, &cx.write_id()).await?;
    cx.show(&applied)?;
    Ok(Exit::Done)
}

async fn check_abilities(
    client: &ObjectClient,
    configuration: &Configuration,
) -> Result<(), CliError> {
    let listed = client.list(ObjectKind::Instances, "").await.map_err(CliError::Platform)?;
    let able = |it: &Object| it.parse::<Able>().map(|it| it.ability).unwrap_or_default();
    let abilities: Vec<EndpointCapability> = listed.items.iter().map(able).collect();
    let targets = unmeetable_targets(configuration, &abilities);
    if targets.is_empty() { Ok(()) } else { Err(CliError::Unmeetable { targets }) }
}

struct Apply<'a> {
    client: ObjectClient,
    deployment: &'a DeploymentName,
    path: &'a Path,
    file: ConfigurationFile,
}

impl Apply<'_> {
    async fn onto(&self, present: Option<Object>, write_id: &WriteId) -> Result<Applied, CliError> {
        let before = present.as_ref().map(Entry::of).transpose()?;
        self.check_base(before.as_ref()).await?;
        let accepted = before.as_ref().map_or(Revision::ZERO, |it| it.revision);
        let changes = self.changes_from(before.as_ref());
        if changes.is_empty() && before.is_some() {
            return Ok(self.applied(accepted, changes).unchanged());
        }
        if let Some(before) = &before {
            history::keep(&self.client, self.deployment, before, write_id).await?;
        }
        let object = self.object(accepted.next(), present.as_ref())?;
        match commit(&self.client, object, write_id).await? {
            Committed::Mine => Ok(self.applied(accepted.next(), changes)),
            Committed::SomeoneElse(found) => {
                self.settle(before, found.as_deref(), write_id, changes).await
            }
        }
    }

    /// Refuses a file that was made from another revision than the accepted one.
    async fn check_base(&self, before: Option<&Entry>) -> Result<(), CliError> {
        let Some(base) = self.file.base() else { return Ok(()) };
        let accepted = before.map_or(Revision::ZERO, |it| it.revision);
        if base == accepted {
            return Ok(());
        }
        let history = History::read(&self.client, self.deployment).await?;
        Err(self.conflict(base, history.find(base), before))
    }

    /// What became of a write, given that the object holds another one.
    async fn settle(
        &self,
        before: Option<Entry>,
        found: Option<&Object>,
        write_id: &WriteId,
        changes: ConfigurationDiff,
    ) -> Result<Applied, CliError> {
        let history = History::read(&self.client, self.deployment).await?;
        if let Some(mine) = history.entries.iter().find(|it| it.is_by(write_id)) {
            return Ok(self.applied(mine.revision, changes).replaced());
        }
        let accepted = found.map(Entry::of).transpose()?;
        let base = before.as_ref().map_or(Revision::ZERO, |it| it.revision);
        Err(self.conflict(base, before.as_ref(), accepted.as_ref()))
    }

    fn object(&self, revision: Revision, present: Option<&Object>) -> Result<Object, CliError> {
        let configuration = self.file.configuration().clone();
        let document = ConfigurationDocument { revision, configuration };
        let name = self.deployment.as_str();
        let mut object = Object::new(ObjectKind::Configurations, name, spec(&document)?);
        object.metadata.annotations.insert(Entry::AT.to_owned(), context::now());
        Ok(object.version(present.and_then(|it| it.metadata.resource_version.clone())))
    }

    fn changes_from(&self, before: Option<&Entry>) -> ConfigurationDiff {
        let none = Configuration::default();
        let before = before.map_or(&none, |it| &it.configuration);
        ConfigurationDiff::between(before, self.file.configuration())
    }

    /// `base` is what both sides started from, where it is kept.
    fn conflict(
        &self,
        base_revision: Revision,
        base: Option<&Entry>,
        accepted: Option<&Entry>,
    ) -> CliError {
        let none = Configuration::default();
        let theirs = accepted.map_or(&none, |it| &it.configuration);
        let mine = self.file.configuration();
        let base = base.map(|it| &it.configuration);
        let base = base.or((base_revision == Revision::ZERO).then_some(&none));
        let both = match base {
            Some(base) => Both::FromBase {
                theirs: ConfigurationDiff::between(base, theirs),
                mine: ConfigurationDiff::between(base, mine),
            },
            None => Both::FromAccepted(ConfigurationDiff::between(theirs, mine)),
        };
        CliError::Conflict(Box::new(Conflict {
            deployment: self.deployment.clone(),
            file: self.path.display().to_string(),
            base: base_revision,
            accepted: accepted.map_or(Revision::ZERO, |it| it.revision),
            writer: accepted.map_or_else(|| "nobody".to_owned(), Entry::writer_name),
            both,
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
