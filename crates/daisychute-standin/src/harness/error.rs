//! Why a step of a test failed.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use nix::errno::Errno;
use thiserror::Error;

/// Why a step of a test failed.
#[derive(Debug, Error)]
pub enum HarnessError {
    /// The program was not built.
    #[error("there is no program {}", path.display())]
    NoProgram {
        /// Where it should be.
        path: PathBuf,
    },
    /// The directory of the built programs is not known.
    #[error("the directory of the built programs is not known")]
    NoTarget(#[source] io::Error),
    /// No port is free.
    #[error("no port is free")]
    NoPort(#[source] io::Error),
    /// The settings file can't be written.
    #[error("can't write {}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The program can't be started.
    #[error("can't start {name}")]
    Start {
        /// The program.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The process can't be sent a signal.
    #[error("can't signal {name}")]
    Signal {
        /// The program.
        name: String,
        /// What the system said.
        source: Errno,
    },
    /// The process can't be waited for.
    #[error("can't wait for {name}")]
    Wait {
        /// The program.
        name: String,
        /// What the system said.
        source: io::Error,
    },
    /// The process ended before it was expected to.
    #[error("{name} ended with {status}; its standard error:\n{stderr}")]
    Ended {
        /// The program.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// What it wrote.
        stderr: String,
    },
    /// The condition did not come true in time.
    #[error("not within {limit:?}: {what}")]
    Timeout {
        /// What was waited for.
        what: String,
        /// How long.
        limit: Duration,
    },
    /// A line that names an address names none.
    #[error("no address in {line:?}")]
    NoAddress {
        /// The line.
        line: String,
    },
    /// A call was not answered.
    #[error("no answer from {url}")]
    NoAnswer {
        /// What was called.
        url: String,
        /// What the client library said.
        source: Box<awc::error::SendRequestError>,
    },
    /// The body of an answer was cut short.
    #[error("the answer of {url} is cut short")]
    CutAnswer {
        /// What was called.
        url: String,
        /// What came of the body.
        body: Bytes,
        /// What the client library said.
        source: PayloadError,
    },
    /// The body of an answer is not the JSON that was expected.
    #[error("the answer of {url} is not the expected JSON")]
    BadAnswer {
        /// What was called.
        url: String,
        /// Where and why.
        source: serde_json::Error,
    },
}
