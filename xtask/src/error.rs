//! Errors of the chores.

use std::io;

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
}
