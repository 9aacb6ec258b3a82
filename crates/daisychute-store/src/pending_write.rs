//! Settlement of writes whose answer was lost.
//!
//! A write whose answer is lost may have taken effect, may still take effect, or never will. Its writer reads the
//! object back. A repeat carries the same write id and the same condition, so that at most one of the two has effect.

use std::fmt;
use std::sync::Arc;

use crate::{Object, ReadOutcome, ResourceVersion};

/// Identifies one write of one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId {
    /// The process and its incarnation.
    pub writer: Arc<str>,
    /// Counts the writes of that incarnation.
    pub write: u64,
}

impl WriteId {
    /// The first write id of a writer.
    #[must_use]
    pub fn first(writer: impl Into<Arc<str>>) -> Self {
        Self { writer: writer.into(), write: 1 }
    }

    /// Gives this write id and moves on to the next.
    pub fn take(&mut self) -> Self {
        let taken = self.clone();
        self.write += 1;
        taken
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.writer, self.write)
    }
}

/// What became of a write, as far as the object that was read back tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResolution {
    /// It took effect, and the object is as it left it.
    Applied,
    /// The object is as it was before. The write may still take effect until the object changes.
    Unchanged,
    /// Another write is in the object. Mine either failed or was replaced; either way it is of no more effect.
    Superseded,
}

/// A write whose answer is not there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite {
    /// Its write id.
    pub write_id: WriteId,
    /// The version that it replaces; none where it creates the object.
    pub base: Option<ResourceVersion>,
}

impl PendingWrite {
    /// What became of it, given the object that was read back, or none where there is no object.
    #[must_use]
    pub fn resolve(&self, found: Option<&Object>) -> WriteResolution {
        let Some(found) = found else {
            return if self.base.is_none() {
                WriteResolution::Unchanged
            } else {
                WriteResolution::Superseded
            };
        };
        if found.write_id().as_ref() == Some(&self.write_id) {
            WriteResolution::Applied
        } else if found.metadata.resource_version == self.base {
            WriteResolution::Unchanged
        } else {
            WriteResolution::Superseded
        }
    }

    /// What became of it by this read, with the version that was read; none where nothing was learned.
    #[must_use]
    pub fn resolve_read(
        &self,
        answer: &ReadOutcome,
    ) -> Option<(WriteResolution, Option<ResourceVersion>)> {
        let found = match answer {
            ReadOutcome::Failed => return None,
            ReadOutcome::Missing => None,
            ReadOutcome::Found(object) => Some(object),
        };
        let version = found.and_then(|it| it.metadata.resource_version.clone());
        Some((self.resolve(found), version))
    }
}
