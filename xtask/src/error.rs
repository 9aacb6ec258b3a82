//! Errors of the chores.

use std::io;
use std::path::PathBuf;

use daisychute_core::NameError;
use daisychute_load::trace::TraceError;
use miette::Diagnostic;
use thiserror::Error;

/// Why a chore failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum XtaskError {
    /// A program could not be started.
    #[error("{program} could not be started")]
    Spawn {
        /// The program.
        program: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A program ended with a failure.
    #[error("{command} failed")]
    Failed {
        /// The program and its arguments.
        command: String,
    },
    /// A file or directory can't be read.
    #[error("{} can't be read", path.display())]
    Read {
        /// The file or directory.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A trace can't be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Trace(#[from] TraceError),
    /// A name of a measurement is malformed.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A plot can't be drawn.
    #[error("the plot can't be drawn: {reason}")]
    Plot {
        /// What the plotting library said.
        reason: String,
    },
}
