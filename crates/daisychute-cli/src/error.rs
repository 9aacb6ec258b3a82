//! Errors of commands and their exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;

use daisychute_core::{DeploymentName, EndpointName, RegionName, Revision};
use daisychute_settings::{SettingsError, UnmeetableTarget};
use daisychute_store::CallError;
use miette::Diagnostic;
use thiserror::Error;

use crate::admin::AdminError;
use crate::commands::Conflict;

/// Exit code of a command. `docs/CLI.md` documents the codes for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A failure without a code of its own.
    Failure = 1,
    /// The command line is wrong or lacks an option.
    Usage = 2,
    /// Another operator's change was accepted first.
    Conflict = 3,
    /// The platform, or every queried entry or front, did not answer. A write may have taken effect nevertheless.
    NoAnswer = 4,
    /// The configuration file is refused.
    Refused = 5,
    /// `diff` found differences.
    Different = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CliError {
    /// A required option is missing.
    #[error("this command needs --{option}")]
    #[diagnostic(help("give --{option}, or set {variable}"))]
    MissingOption {
        /// Name of the option, without dashes.
        option: &'static str,
        /// Environment variable that may be set instead.
        variable: &'static str,
    },
    /// A log file can't be read.
    #[error("the log {} can't be read", log.display())]
    Log {
        /// Path of the log; `-` is the standard input.
        log: std::path::PathBuf,
        /// Error from opening or reading it.
        source: std::io::Error,
    },
    /// No log line has the id of the request.
    #[error("no log line has request id {request}")]
    #[diagnostic(help("give the logs of all fronts: any of them may have had the request"))]
    UnknownRequest {
        /// Id that was searched for.
        request: String,
    },
    /// The configuration file can't be read or is invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] SettingsError),
    /// No listed endpoint can meet the latency targets of the configuration.
    #[error("the endpoints that the platform lists can't meet the targets")]
    Unmeetable {
        /// Targets that no endpoint can meet.
        #[related]
        targets: Vec<UnmeetableTarget>,
    },
    /// Another operator's configuration was accepted first.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Conflict(Box<Conflict>),
    /// Other operators changed the drains at every attempt.
    #[error("the drains of region {region} changed at each of {attempts} attempts")]
    #[diagnostic(help("try again"))]
    Contended {
        /// Region whose drains were to be changed.
        region: RegionName,
        /// Number of attempts.
        attempts: u32,
    },
    /// Other writers changed the history of the configuration at every attempt.
    #[error("the history of {deployment} changed at each of {attempts} attempts")]
    #[diagnostic(help("the configuration in force stays in force; try again"))]
    HistoryContended {
        /// Deployment whose history was to be extended.
        deployment: DeploymentName,
        /// Number of attempts.
        attempts: u32,
    },
    /// `drain` was given an endpoint that the platform does not list.
    #[error("the platform lists no endpoint {endpoint}, and it is not drained")]
    #[diagnostic(help("`daisychute status` shows the endpoints"))]
    UnknownEndpoint {
        /// Name that was given.
        endpoint: EndpointName,
    },
    /// No configuration was accepted yet.
    #[error("deployment {deployment} has no configuration")]
    #[diagnostic(help("create one with `daisychute apply FILE`"))]
    NoConfiguration {
        /// Deployment without a configuration.
        deployment: DeploymentName,
    },
    /// No plan was committed yet.
    #[error("region {region} has no plan")]
    #[diagnostic(help(
        "the entry of the region that holds the planner lease writes the first plan"
    ))]
    NoPlan {
        /// Region without a plan.
        region: RegionName,
    },
    /// The history does not hold the revision, or no longer.
    #[error("revision {revision} is not in the history")]
    #[diagnostic(help("`daisychute history` lists the revisions that are"))]
    NoRevision {
        /// Revision that was asked for.
        revision: Revision,
    },
    /// An object's content does not match its kind.
    #[error("{object} on the platform is malformed")]
    #[diagnostic(help("was it written by a later version of daisychute?"))]
    Malformed {
        /// Kind and name of the object.
        object: String,
        /// Error from parsing or serializing it.
        source: serde_json::Error,
    },
    /// All attempts of a write failed, and at least one may have taken effect.
    #[error("the platform gave no answer, and the write may have taken effect")]
    #[diagnostic(help(
        "check with `daisychute get` or `daisychute plan`; it is safe to run the command again"
    ))]
    AmbiguousWrite {
        /// Error of the last attempt.
        source: CallError,
    },
    /// A call to the platform failed, and no write took effect.
    #[error("the call to the platform failed")]
    #[diagnostic(help("this command changed nothing; the configuration in force stays in force"))]
    Platform(#[source] CallError),
    /// A call to an entry failed.
    #[error("the call to entry {entry} failed")]
    #[diagnostic(help("give the admin address of a running entry"))]
    Entry {
        /// Admin address that was called.
        entry: SocketAddr,
        /// Cause of the failure.
        source: AdminError,
    },
    /// The metrics of none of the given fronts could be read.
    #[error("the metrics of none of the {} fronts could be read", errors.len())]
    #[diagnostic(help("give the address `metrics` of section [front] of running fronts"))]
    NoFront {
        /// Error of each given front.
        #[related]
        errors: Vec<FrontError>,
    },
    /// Writing to the standard output failed.
    #[error("can't write to the standard output")]
    Write(#[from] std::io::Error),
}

/// Why the metrics of one front could not be read.
#[derive(Debug, Error, Diagnostic)]
#[error("the call to front {address} failed")]
pub(crate) struct FrontError {
    /// Metrics address that was called.
    pub(crate) address: SocketAddr,
    /// Cause of the failure.
    pub(crate) source: AdminError,
}

impl FrontError {
    const fn is_no_answer(&self) -> bool {
        matches!(self.source, AdminError::NoAnswer)
    }
}

impl CliError {
    /// Exit code that stands for the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::MissingOption { .. } => Exit::Usage,
            Self::File(_) | Self::Unmeetable { .. } | Self::Platform(CallError::TooLarge) => {
                Exit::Refused
            }
            Self::Conflict(_) | Self::Contended { .. } | Self::HistoryContended { .. } => {
                Exit::Conflict
            }
            Self::AmbiguousWrite { .. } => Exit::NoAnswer,
            Self::Platform(error) if is_unavailable(error) => Exit::NoAnswer,
            Self::Entry { source: AdminError::NoAnswer, .. } => Exit::NoAnswer,
            Self::NoFront { errors } if errors.iter().all(FrontError::is_no_answer) => {
                Exit::NoAnswer
            }
            _ => Exit::Failure,
        }
    }
}

fn is_unavailable(error: &CallError) -> bool {
    matches!(
        error,
        CallError::Unavailable(_) | CallError::Throttled { .. } | CallError::RateLimited(_)
    )
}
