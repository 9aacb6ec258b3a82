//! Errors of loading a file.

use std::io;
use std::path::PathBuf;

use miette::{Diagnostic, NamedSource};
use thiserror::Error;

use crate::problem::Problems;
use crate::{Problem, spans};

/// Error of loading a settings or configuration file.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{} can't be read", path.display())]
    #[diagnostic(help("specify the path of a readable file in UTF-8"))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause: an I/O error or invalid UTF-8.
        source: io::Error,
    },
    /// The file is larger than [`SettingsError::MAX_BYTES`].
    #[error("{file} has {len} bytes, which exceeds the limit of {max}", max = Self::MAX_BYTES)]
    #[diagnostic(help("is this the right file?"))]
    TooLarge {
        /// Name of the file.
        file: String,
        /// Length of the file in bytes.
        len: u64,
    },
    /// The file is invalid.
    #[error("{file} has {count} problem{s}", count = problems.len(), s = if problems.len() == 1 { "" } else { "s" })]
    Invalid {
        /// Name of the file.
        file: String,
        /// Text of the file, with secrets masked.
        #[source_code]
        text: NamedSource<String>,
        /// All problems that were found; never empty.
        #[related]
        problems: Vec<Problem>,
    },
}

impl SettingsError {
    /// Maximum size of a file in bytes.
    pub const MAX_BYTES: u64 = 1 << 20;

    /// Key whose values are masked in all output, whichever section or file contains it.
    pub(crate) const SECRET_KEY: &str = "token";

    pub(crate) fn rejected(file: &str, text: &str, problems: Problems) -> Self {
        Self::Invalid {
            file: file.to_owned(),
            text: NamedSource::new(file, spans::mask_values(text, Self::SECRET_KEY)),
            problems: problems.into_vec(),
        }
    }
}
