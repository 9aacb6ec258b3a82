//! Resolution of ambiguous writes.
//!
//! A write whose response was lost may have current effect, may still take effect, or never will. Its writer reads the
//! object back. A repeat carries the same write id and the same condition, so at most one of the two takes effect.

use std::fmt;
use std::sync::Arc;

use crate::{Object, ReadOutcome, ResourceVersion};

/// Identifies one write of one process. Stored in the annotations of the object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId {
    /// Identifies the process and its incarnation, and the part of the process that writes.
    pub writer: Arc<str>,
    /// Sequence number of the write within the writer, starting at 1.
    pub write: u64,
}

impl WriteId {
    /// The id of a writer's first write.
    #[must_use]
    pub fn first(writer: impl Into<Arc<str>>) -> Self {
        Self { writer: writer.into(), write: 1 }
    }

    /// Returns this write id and advances to the next.
    pub fn take(&mut self) -> Self {
        let current = self.clone();
        self.write += 1;
        current
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.writer, self.write)
    }
}

/// State of an ambiguous write, as shown by the object that was read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteResolution {
    /// The write took effect, and no other write has replaced the object since.
    Applied,
    /// The object still has the version from before the write, which may still take effect.
    Unchanged,
    /// The object was changed by another write. The ambiguous write failed or was overwritten, and can't take effect
    /// now.
    Superseded,
}

/// A write whose result is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite {
    /// Id of the write, which marks the object if the write takes effect.
    pub write_id: WriteId,
    /// The version that the write replaces; `None` if it creates the object.
    pub base: Option<ResourceVersion>,
}

impl PendingWrite {
    /// Resolves the write from the object that was read back; `None` if the object does not exist.
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

    /// Resolves the write from the result of a read and returns the version that was read. `None` if the read failed.
    #[must_use]
    pub fn resolve_read(
        &self,
        outcome: &ReadOutcome,
    ) -> Option<(WriteResolution, Option<ResourceVersion>)> {
        let found = match outcome {
            ReadOutcome::Failed => return None,
            ReadOutcome::Missing => None,
            ReadOutcome::Found(object) => Some(object),
        };
        let version = found.and_then(|it| it.metadata.resource_version.clone());
        Some((self.resolve(found), version))
    }
}
