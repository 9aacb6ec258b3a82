//! Errors of the tasks.

use std::io;
use std::path::PathBuf;

use daisychute_core::NameError;
use daisychute_load::trace::TraceError;
use daisychute_proto::EncodeError;
use daisychute_standin::harness::HarnessError;
use daisychute_testbed::TestbedError;
use thiserror::Error;

/// Error of a task.
#[derive(Debug, Error)]
pub(crate) enum XtaskError {
    /// A program could not be started.
    #[error("{program} could not be started")]
    Spawn {
        /// Name of the program.
        program: String,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// Starting, using or stopping a test deployment failed.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// Running a program or calling it failed.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// The demo did not behave as expected.
    #[error("the demo failed: {0}")]
    Demo(&'static str),
    /// A file of a process under `/proc` can't be read, or is malformed.
    #[error("{path} can't be read")]
    Proc {
        /// Path of the file.
        path: String,
        /// Error of the operating system; `None` if the file is malformed.
        #[source]
        source: Option<io::Error>,
    },
    /// A histogram can't be created.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A program exited with a failure.
    #[error("{command} failed")]
    Failed {
        /// Command line of the program.
        command: String,
    },
    /// A file or directory can't be read.
    #[error("{} can't be read", path.display())]
    Read {
        /// Path of the file or directory.
        path: PathBuf,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A file can't be written.
    #[error("can't write {}", path.display())]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
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
    /// A name that a measurement uses is invalid.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A plot can't be drawn.
    #[error("the plot can't be drawn: {reason}")]
    Plot {
        /// Message of the plotting library.
        reason: String,
    },
}
