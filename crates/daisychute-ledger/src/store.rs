//! What the cores say to the platform's object API and hear from it.

use std::fmt;

use daisychute_core::{Incarnation, ProcessName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// One start of one process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// The process.
    pub process: ProcessName,
    /// Which start of it.
    pub incarnation: Incarnation,
}

impl ProcessId {
    /// This start of this process.
    #[must_use]
    pub const fn new(process: ProcessName, incarnation: Incarnation) -> Self {
        Self { process, incarnation }
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.process, self.incarnation)
    }
}

/// The version of an object on the platform.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(u64);

impl Version {
    /// No object: a conditional update that expects it creates the object.
    pub const ABSENT: Self = Self(0);

    /// The version with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Its number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl TryFrom<&str> for Version {
    type Error = VersionError;

    fn try_from(raw: &str) -> Result<Self, VersionError> {
        raw.parse().map(Self).map_err(|_| VersionError)
    }
}

/// The text is no version that can be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a resource version is a decimal number")]
pub struct VersionError;

/// Tells one write from every other. It is stored with the object, so that a lost answer is settled by reading.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WriteId {
    /// Who wrote.
    pub writer: ProcessId,
    /// Counts the writes of that process.
    pub seq: u64,
}

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored<T> {
    /// Its version.
    pub version: Version,
    /// The write that made this version.
    pub write: WriteId,
    /// What it holds.
    pub body: T,
}

/// How a conditional update ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutResult {
    /// It took effect and made this version.
    Done(Version),
    /// The object had another version; it had no effect and never will.
    Conflict,
    /// No answer came: it had an effect, or will have, or never will.
    Unclear,
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult<T> {
    /// There is an object.
    Found(Stored<T>),
    /// There is none.
    Absent,
    /// No answer came.
    Failed,
}
