//! Documents that every process keeps a replica of.

use daisychute_core::{Configuration, ConfigurationError, Plan, Revision};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ObjectKind;

/// Why a document is refused as a whole.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// It is not what its kind says.
    #[error("the document is malformed")]
    Malformed(#[from] serde_json::Error),
    /// It is a configuration whose parts don't fit together.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// It is a plan with a part that is newer than the whole.
    #[error("an entry of the plan is of revision {since}, the plan itself of {revision}")]
    EntryAhead {
        /// The revision of the entry.
        since: Revision,
        /// The revision of the plan.
        revision: Revision,
    },
}

/// A document that lives in one object on the platform and in a replica in every process.
pub trait ReplicatedDocument: Sized {
    /// The kind of its object.
    const KIND: ObjectKind;

    /// Reads the JSON text of the object's content and checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Any part is invalid.
    fn read(body: &[u8]) -> Result<(Revision, Self), DocumentError>;
}

/// The content of a configuration object.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationDocument {
    /// Counts the accepted configurations. A writer adds one to the revision that it read.
    pub revision: Revision,
    /// The configuration.
    pub configuration: Configuration,
}

impl ReplicatedDocument for Configuration {
    const KIND: ObjectKind = ObjectKind::Configurations;

    fn read(body: &[u8]) -> Result<(Revision, Self), DocumentError> {
        let document: ConfigurationDocument = serde_json::from_slice(body)?;
        document.configuration.check()?;
        Ok((document.revision, document.configuration))
    }
}

impl ReplicatedDocument for Plan {
    const KIND: ObjectKind = ObjectKind::Plans;

    fn read(body: &[u8]) -> Result<(Revision, Self), DocumentError> {
        let plan: Self = serde_json::from_slice(body)?;
        let revision = plan.revision;
        match plan.endpoints.values().find(|it| it.since > revision) {
            Some(entry) => Err(DocumentError::EntryAhead { since: entry.since, revision }),
            None => Ok((revision, plan)),
        }
    }
}
