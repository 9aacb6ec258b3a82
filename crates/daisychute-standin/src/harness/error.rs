//! Errors of the test harness.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use nix::errno::Errno;
use thiserror::Error;

/// The reason why a step of a test failed.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// The program to start hasn't been built.
    #[error("there is no program {}", path.display())]
    NoProgram {
        /// Path at which the program was expected.
        path: PathBuf,
    },
    /// The path of the running test, next to which the built programs are, can't be determined.
    #[error("can't determine the directory of the built programs")]
    NoTarget(#[source] io::Error),
    /// No free port can be reserved.
    #[error("no port is free")]
    NoPort(#[source] io::Error),
    /// The settings file can't be written.
    #[error("can't write {}", path.display())]
    Settings {
        /// Path of the temporary settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The program can't be started.
    #[error("can't start {name}")]
    Start {
        /// File name of the program.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A signal can't be sent to the process.
    #[error("can't signal {name}")]
    Signal {
        /// File name of the program.
        name: String,
        /// Error of the operating system.
        source: Errno,
    },
    /// The exit status of the process can't be read.
    #[error("can't wait for {name}")]
    Wait {
        /// File name of the program.
        name: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The process exited early.
    #[error("{name} exited early with {status}; its standard error:\n{stderr}")]
    Ended {
        /// File name of the program.
        name: String,
        /// Exit status of the process.
        status: ExitStatus,
        /// Everything that the process wrote to its standard error.
        stderr: String,
    },
    /// A condition didn't hold in time.
    #[error("timed out after {limit:?}: {what}")]
    Timeout {
        /// Description of the condition.
        what: String,
        /// Time limit that passed.
        limit: Duration,
    },
    /// A line of output that should contain a socket address doesn't.
    #[error("not a socket address: {line:?}")]
    NoAddress {
        /// Rest of the line after the prefix that was searched for.
        line: String,
    },
    /// A call got no response.
    #[error("no response from {url}")]
    NoResponse {
        /// URL of the call.
        url: String,
        /// Error of the HTTP client.
        source: Box<awc::error::SendRequestError>,
    },
    /// The body of a response was truncated.
    #[error("the response of {url} is truncated")]
    TruncatedResponse {
        /// URL of the call.
        url: String,
        /// Part of the body that arrived and wasn't read as lines.
        body: Bytes,
        /// Error of the HTTP client.
        source: PayloadError,
    },
    /// The body of a response isn't the expected JSON.
    #[error("the response of {url} isn't the expected JSON")]
    BadResponse {
        /// URL of the call.
        url: String,
        /// Error of the JSON parser, with its position.
        source: serde_json::Error,
    },
}
