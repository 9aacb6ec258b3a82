//! Errors of the testbed.

use daisychute_core::NameError;
use daisychute_standin::harness::HarnessError;
use thiserror::Error;

/// Why a deployment could not be brought up, driven or stopped.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A process, or a call of it, failed.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// An entry is not ready in time.
    #[error("{source}; what it logged last:\n{log}")]
    NotReady {
        /// What was waited for.
        source: HarnessError,
        /// The end of its log.
        log: String,
    },
    /// The platform refused an object.
    #[error("the platform answered {status} to {path}: {body}")]
    Platform {
        /// The path.
        path: String,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// A process ended with a failure.
    #[error("{process} ended with {status}")]
    BadExit {
        /// Its name.
        process: String,
        /// How it ended.
        status: std::process::ExitStatus,
    },
    /// A name of the plan is none.
    #[error(transparent)]
    Name(#[from] NameError),
}
