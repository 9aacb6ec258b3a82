//! Documents that every process replicates.

use daisychute_core::{Configuration, ConfigurationError, Plan, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ObjectKind;

/// Why a document is rejected as a whole.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The body is not valid JSON for its kind of document.
    #[error("the document is malformed")]
    Malformed(#[from] serde_json::Error),
    /// A configuration is inconsistent, for example because a tenant names a class that does not exist.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// A plan has an entry with a higher revision than the plan itself.
    #[error("an entry of the plan has revision {since}, but the plan has revision {revision}")]
    EntryAhead {
        /// Plan revision at which the entry last changed.
        since: Revision,
        /// Revision of the whole plan.
        revision: Revision,
    },
}

/// A document that is stored in one object on the platform and replicated to every process.
pub trait ReplicatedDocument: Sized {
    /// Kind of the object that stores the document.
    const KIND: ObjectKind;

    /// Parses the JSON text of the object's content and checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Any part of the document is invalid.
    fn parse(body: &[u8]) -> Result<(Revision, Self), DocumentError>;
}

/// Content of a configuration object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Sequence number of accepted configurations: a writer adds one to the revision that it read.
    pub revision: Revision,
    /// Settings of the deployment that are in force as of this revision.
    pub configuration: Configuration,
}

impl ReplicatedDocument for Configuration {
    const KIND: ObjectKind = ObjectKind::Configurations;

    fn parse(body: &[u8]) -> Result<(Revision, Self), DocumentError> {
        let document: ConfigurationDocument = serde_json::from_slice(body)?;
        document.configuration.check()?;
        Ok((document.revision, document.configuration))
    }
}

impl ReplicatedDocument for Plan {
    const KIND: ObjectKind = ObjectKind::Plans;

    fn parse(body: &[u8]) -> Result<(Revision, Self), DocumentError> {
        let plan: Self = serde_json::from_slice(body)?;
        let revision = plan.revision;
        match plan.endpoints.values().find(|it| it.since > revision) {
            Some(entry) => Err(DocumentError::EntryAhead { since: entry.since, revision }),
            None => Ok((revision, plan)),
        }
    }
}
