//! History of replaced configurations.
//!
//! A configuration is added to the history before it is replaced. So a client that is killed between the two writes
//! loses no revision: each is the accepted one or in the history. If the second write does not happen, the history holds
//! the accepted configuration too, and the list of `daisychute history` leaves that entry out.

use daisychute_core::{Configuration, DeploymentName, Revision};
use daisychute_store::{ConfigurationDocument, Object, ObjectClient, ObjectKind, WriteId};
use serde::{Deserialize, Serialize};

use crate::commit::{CommitOutcome, commit};
use crate::context::{self, parse, read, spec};
use crate::error::CliError;

/// Maximum number of entries; beyond it the oldest are dropped.
const MAX_ENTRIES: usize = 20;
/// Maximum size of all entries as JSON; beyond it the oldest are dropped. The platform limits an object to 1 MiB.
const MAX_BYTES: usize = 768 * 1024;
/// Attempts to add an entry, each of which fails if another operator changes the history meanwhile.
const MAX_ATTEMPTS: u32 = 5;

/// An accepted configuration and who wrote it when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ConfigurationEntry {
    /// Revision, which counts the accepted configurations of the deployment.
    pub(crate) revision: Revision,
    /// Writer part of the write id; empty if the object has none.
    #[serde(default)]
    pub(crate) writer: String,
    /// Number of the write among those of the writer; 0 if the object has no write id.
    #[serde(default)]
    pub(crate) write: u64,
    /// Time of the write by the writer's clock, as RFC 3339 text in UTC; empty if the object has no such annotation.
    #[serde(default)]
    pub(crate) at: String,
    /// Configuration as it was accepted.
    pub(crate) configuration: Configuration,
}

/// The latest replaced configurations of a deployment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct History {
    // Invariant: ordered by revision, each at most once.
    #[serde(default)]
    pub(crate) entries: Vec<ConfigurationEntry>,
}

impl ConfigurationEntry {
    /// Key of the annotation that holds the time of the write.
    pub(crate) const ACCEPTED_AT: &str = "at";

    /// Reads the entry from a configuration object.
    pub(crate) fn from_object(object: &Object) -> Result<Self, CliError> {
        let document: ConfigurationDocument = parse(object)?;
        let write_id = object.write_id();
        Ok(Self {
            revision: document.revision,
            writer: write_id.as_ref().map(|it| it.writer.to_string()).unwrap_or_default(),
            write: write_id.map(|it| it.write).unwrap_or_default(),
            at: object.metadata.annotations.get(Self::ACCEPTED_AT).cloned().unwrap_or_default(),
            configuration: document.configuration,
        })
    }

    /// Whether the write with this id made the entry.
    pub(crate) fn was_written_by(&self, write_id: &WriteId) -> bool {
        *self.writer == *write_id.writer && self.write == write_id.write
    }

    /// Name of the writer, without the unique part of the write id.
    pub(crate) fn writer_name(&self) -> String {
        context::writer_name(&self.writer).to_string()
    }
}

impl History {
    /// Reads the history of a deployment; empty if there is none.
    pub(crate) async fn read(
        client: &ObjectClient,
        deployment: &DeploymentName,
    ) -> Result<Self, CliError> {
        match read(client, ObjectKind::Histories, deployment.as_str()).await? {
            Some(object) => parse(&object),
            None => Ok(Self::default()),
        }
    }

    /// The entry with this revision, if it is in the history.
    pub(crate) fn find(&self, revision: Revision) -> Option<&ConfigurationEntry> {
        self.entries.iter().find(|it| it.revision == revision)
    }

    /// Appends an entry and drops the oldest ones that exceed the limits. Returns whether anything changed: an entry that
    /// is not newer than all others is not added.
    fn push(&mut self, entry: ConfigurationEntry) -> bool {
        if self.entries.iter().any(|it| it.revision >= entry.revision) {
            return false;
        }
        self.entries.push(entry);
        while self.entries.len() > MAX_ENTRIES || (self.json_bytes() > MAX_BYTES) {
            self.entries.remove(0);
        }
        true
    }

    fn json_bytes(&self) -> usize {
        if self.entries.is_empty() {
            return 0;
        }
        serde_json::to_vec(&self.entries).map_or(0, |it| it.len())
    }
}

/// Adds the configuration that is about to be replaced to the stored history. Fails if other writers change the history
/// at each attempt, as the configuration must not be replaced before.
pub(crate) async fn add(
    client: &ObjectClient,
    deployment: &DeploymentName,
    entry: &ConfigurationEntry,
    write_id: &WriteId,
) -> Result<(), CliError> {
    for _ in 0..MAX_ATTEMPTS {
        let present = read(client, ObjectKind::Histories, deployment.as_str()).await?;
        let mut history: History = present.as_ref().map(parse).transpose()?.unwrap_or_default();
        if !history.push(entry.clone()) {
            return Ok(());
        }
        let version = present.and_then(|it| it.metadata.resource_version);
        let object = Object::new(ObjectKind::Histories, deployment.as_str(), spec(&history)?);
        if let CommitOutcome::Applied = commit(client, object.version(version), write_id).await? {
            return Ok(());
        }
    }
    Err(CliError::HistoryContended { deployment: deployment.clone(), attempts: MAX_ATTEMPTS })
}
