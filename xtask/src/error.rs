//! Errors of the chores.

use std::io;
use std::path::PathBuf;

use daisychute_core::NameError;
use daisychute_load::trace::TraceError;
use daisychute_proto::EncodeError;
use daisychute_standin::harness::HarnessError;
use daisychute_testbed::TestbedError;
use thiserror::Error;

/// Why a chore failed.
#[derive(Debug, Error)]
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
    /// A deployment could not be driven.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// A step of the deployment failed.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// The demo did not show what it must.
    #[error("the demo failed: {0}")]
    Demo(&'static str),
    /// The system's account of a process can't be read, or is malformed where there is no source.
    #[error("{path} can't be read")]
    Proc {
        /// The file.
        path: String,
        /// What the system said.
        #[source]
        source: Option<io::Error>,
    },
    /// A histogram can't be made.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
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
    /// A file can't be written.
    #[error("can't write {}", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// A stand-in of the users' platform failed.
    #[error("a stand-in of the platform failed")]
    Platform(#[from] daisychute_platform_standin::StandinError),
    /// A frame can't be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// A trace can't be read.
    #[error(transparent)]
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
