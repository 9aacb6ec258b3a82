//! Errors of the testbed.

use daisychute_core::NameError;
use daisychute_standin::harness::HarnessError;
use thiserror::Error;

/// Why a deployment could not be brought up, driven or stopped.
#[derive(Debug, Error)]
pub enum TestbedError {
    /// A process could not be started or signalled, a request failed, or a wait timed out.
    #[error(transparent)]
    Harness(#[from] HarnessError),
    /// An entry did not become ready in time.
    #[error("{source}; the end of its log:\n{log}")]
    NotReady {
        /// The timeout, with the condition that was waited for.
        source: HarnessError,
        /// The last lines that the entry logged.
        log: String,
    },
    /// The platform rejected the write of an object.
    #[error("the platform responded with {status} to {path}: {body}")]
    Platform {
        /// The path of the object.
        path: String,
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        body: String,
    },
    /// A daemon that was asked to shut down ended with a failure.
    #[error("{process} ended with {status}")]
    BadExit {
        /// The name of the daemon.
        process: String,
        /// Its exit code or the signal that ended it.
        status: std::process::ExitStatus,
    },
    /// The specification has an invalid name.
    #[error(transparent)]
    Name(#[from] NameError),
}
