//! Names of segments and jobs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use daisychute_core::{Incarnation, ProcessName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ProcessId;

/// A batch of jobs that became durable in one write.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SegmentId {
    /// The process that wrote it.
    pub writer: ProcessId,
    /// Counts the segments of that process.
    pub seq: u64,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// Its segment.
    pub segment: SegmentId,
    /// Its place in the segment.
    pub index: u32,
}

/// An object that holds results of one segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResultObjectId {
    /// The segment.
    pub segment: SegmentId,
    /// The epoch of the claim under which it was written.
    pub epoch: u64,
    /// The write that created it. The process that holds the claim uses no number twice.
    pub seq: u64,
}

/// The text is no job id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a job id is a process name, an incarnation, a segment number and an index joined by '.'")]
pub struct ParseJobIdError;

impl fmt::Display for SegmentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.writer, self.seq)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}", self.segment, self.index)
    }
}

impl fmt::Display for ResultObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.r{:x}.{:x}", self.segment, self.epoch, self.seq)
    }
}

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(raw: &str) -> Result<Self, ParseJobIdError> {
        let mut parts = raw.rsplitn(4, '.');
        let mut number = || {
            let part = parts.next().ok_or(ParseJobIdError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseJobIdError)
        };
        let index = u32::try_from(number()?).map_err(|_| ParseJobIdError)?;
        let seq = number()?;
        let incarnation = Incarnation::new(number()?);
        let name: Arc<str> = Arc::from(parts.next().ok_or(ParseJobIdError)?);
        let process = ProcessName::try_from(name).map_err(|_| ParseJobIdError)?;
        let writer = ProcessId::new(process, incarnation);
        Ok(Self { segment: SegmentId { writer, seq }, index })
    }
}
