//! Why a file is refused.

use std::io;
use std::path::PathBuf;

use miette::{Diagnostic, NamedSource};
use thiserror::Error;

use crate::problem::Problems;
use crate::{Problem, spans};

/// Why a settings or configuration file is refused.
#[derive(Debug, Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{} can't be read", path.display())]
    #[diagnostic(help("give the path of a readable file in UTF-8"))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The file is larger than [`SettingsError::MAX_BYTES`].
    #[error("{file} has {len} bytes, at most {max} are accepted", max = Self::MAX_BYTES)]
    #[diagnostic(help("is this the right file?"))]
    TooLarge {
        /// The file.
        file: String,
        /// Its length in bytes.
        len: u64,
    },
    /// Parts of the file are not accepted.
    #[error("{file} has {count} fault{s}", count = problems.len(), s = if problems.len() == 1 { "" } else { "s" })]
    Refused {
        /// The file.
        file: String,
        /// Its text.
        #[source_code]
        text: NamedSource<String>,
        /// All that is wrong with it.
        #[related]
        problems: Vec<Problem>,
    },
}

impl SettingsError {
    /// The largest file, in bytes.
    pub const MAX_BYTES: u64 = 1 << 20;

    /// The key whose values are never shown, in whatever file it stands.
    pub(crate) const SECRET_KEY: &str = "token";

    pub(crate) fn refused(file: &str, text: &str, problems: Problems) -> Self {
        Self::Refused {
            file: file.to_owned(),
            text: NamedSource::new(file, spans::cover(text, Self::SECRET_KEY)),
            problems: problems.into_vec(),
        }
    }
}
