//! The configurations that were replaced.
//!
//! Before a configuration is replaced it is added to the history. So a revision is never lost: it is either the
//! accepted one or in the history, whatever is killed in between. An entry that was added and then not replaced is
//! the accepted configuration itself and is left out of the list.

use daisychute_core::{Configuration, DeploymentName, Revision};
use daisychute_store::{ConfigurationDocument, Object, ObjectClient, ObjectKind, WriteId};
use serde::{Deserialize, Serialize};

use crate::commit::{Committed, commit};
use crate::context::{self, parse, read, spec};
use crate::error::CliError;

/// The most revisions that are kept.
const MAX_ENTRIES: usize = 20;
/// The most that the entries take together, in bytes of JSON; the platform's bound on an object is 1 MiB.
const MAX_BYTES: usize = 768 * 1024;
/// How often an entry is added again after another operator was first.
const ATTEMPTS: usize = 5;

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    /// Its revision.
    pub(crate) revision: Revision,
    /// Who wrote it.
    #[serde(default)]
    pub(crate) writer: String,
    /// The number of the write among those of its writer.
    #[serde(default)]
    pub(crate) write: u64,
    /// When it was written, in UTC.
    #[serde(default)]
    pub(crate) at: String,
    /// The configuration.
    pub(crate) configuration: Configuration,
}

/// The replaced configurations of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History {
    // Invariant: ordered by revision, each at most once.
    #[serde(default)]
    pub(crate) entries: Vec<Entry>,
}

impl Entry {
    /// The annotation that tells when an object was written.
    pub(crate) const AT: &str = "at";

    /// The entry of a configuration object.
    pub(crate) fn of(object: &Object) -> Result<Self, CliError> {
        let document: ConfigurationDocument = parse(object)?;
        let write_id = object.write_id();
        Ok(Self {
            revision: document.revision,
            writer: write_id.as_ref().map(|it| it.writer.to_string()).unwrap_or_default(),
            write: write_id.map(|it| it.write).unwrap_or_default(),
            at: object.metadata.annotations.get(Self::AT).cloned().unwrap_or_default(),
            configuration: document.configuration,
        })
    }

    /// Whether this write made it.
    pub(crate) fn is_by(&self, write_id: &WriteId) -> bool {
        *self.writer == *write_id.writer && self.write == write_id.write
    }

    /// Who wrote it, as it is shown.
    pub(crate) fn writer_name(&self) -> String {
        context::writer_name(&self.writer).to_string()
    }
}

impl History {
    /// The history of a deployment; empty where there is none.
    pub(crate) async fn read(
        client: &ObjectClient,
        deployment: &DeploymentName,
    ) -> Result<Self, CliError> {
        match read(client, ObjectKind::Histories, deployment.as_str()).await? {
            Some(object) => parse(&object),
            None => Ok(Self::default()),
        }
    }

    /// The entry of a revision.
    pub(crate) fn find(&self, revision: Revision) -> Option<&Entry> {
        self.entries.iter().find(|it| it.revision == revision)
    }

    /// Adds an entry and drops the oldest ones that don't fit. Tells whether anything changed.
    fn add(&mut self, entry: Entry) -> bool {
        if self.entries.iter().any(|it| it.revision >= entry.revision) {
            return false;
        }
        self.entries.push(entry);
        while self.entries.len() > MAX_ENTRIES || (self.bytes() > MAX_BYTES) {
            self.entries.remove(0);
        }
        true
    }

    fn bytes(&self) -> usize {
        if self.entries.is_empty() {
            return 0;
        }
        serde_json::to_vec(&self.entries).map_or(0, |it| it.len())
    }
}

/// Adds the configuration that is about to be replaced to the history.
pub(crate) async fn keep(
    client: &ObjectClient,
    deployment: &DeploymentName,
    entry: &Entry,
    write_id: &WriteId,
) -> Result<(), CliError> {
    for _ in 0..ATTEMPTS {
        let present = read(client, ObjectKind::Histories, deployment.as_str()).await?;
        let mut history: History = present.as_ref().map(parse).transpose()?.unwrap_or_default();
        if !history.add(entry.clone()) {
            return Ok(());
        }
        let version = present.and_then(|it| it.metadata.resource_version);
        let object = Object::new(ObjectKind::Histories, deployment.as_str(), spec(&history)?);
        if let Committed::Mine = commit(client, object.version(version), write_id).await? {
            return Ok(());
        }
    }
    // Others added entries each time, among them this one or a later one.
    Ok(())
}
