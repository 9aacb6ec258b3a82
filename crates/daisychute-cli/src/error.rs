//! Why a command failed, and the exit code that says so.

use std::net::SocketAddr;
use std::process::ExitCode;

use daisychute_core::{DeploymentName, EndpointName, RegionName, Revision};
use daisychute_settings::{SettingsError, UnmeetableTarget};
use daisychute_store::CallError;
use miette::Diagnostic;
use thiserror::Error;

use crate::admin::AdminError;
use crate::commands::Conflict;

/// How a command ends. `docs/CLI.md` tells operators the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// It did what it was asked for.
    Done = 0,
    /// It failed in a way that no other code names.
    Failure = 1,
    /// The command line lacks something.
    Usage = 2,
    /// Another operator was first.
    Conflict = 3,
    /// Neither the platform nor an entry answered.
    NoAnswer = 4,
    /// The file is refused.
    Refused = 5,
    /// The two configurations differ.
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
    /// An option is needed that was not given.
    #[error("this command needs --{option}")]
    #[diagnostic(help("give --{option}, or set {variable}"))]
    MissingOption {
        /// The option.
        option: &'static str,
        /// The variable that stands in for it.
        variable: &'static str,
    },
    /// A log can't be read.
    #[error("the log {} can't be read", log.display())]
    Log {
        /// The log.
        log: std::path::PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// No line of the logs tells of the request.
    #[error("no line tells of request {request}")]
    #[diagnostic(help("give the logs of all fronts: any of them may have had the request"))]
    UnknownRequest {
        /// Its id.
        request: String,
    },
    /// The file is refused.
    #[error(transparent)]
    #[diagnostic(transparent)]
    File(#[from] SettingsError),
    /// The endpoints can't meet the targets.
    #[error("the endpoints that the platform lists can't meet the targets")]
    Unmeetable {
        /// Which ones, and why.
        #[related]
        targets: Vec<UnmeetableTarget>,
    },
    /// Another operator was first.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Conflict(Box<Conflict>),
    /// Other operators were first again and again.
    #[error("the drains of region {region} changed at each of {attempts} attempts")]
    #[diagnostic(help("try again"))]
    Contended {
        /// The region.
        region: RegionName,
        /// How often it was tried.
        attempts: u32,
    },
    /// The platform lists no such endpoint.
    #[error("the platform lists no endpoint {endpoint}, and it is not drained")]
    #[diagnostic(help("`daisychute status` shows the endpoints"))]
    UnknownEndpoint {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// There is no configuration yet.
    #[error("deployment {deployment} has no configuration")]
    #[diagnostic(help("create one with `daisychute apply FILE`"))]
    NoConfiguration {
        /// The deployment.
        deployment: DeploymentName,
    },
    /// There is no plan yet.
    #[error("region {region} has no plan")]
    #[diagnostic(help(
        "a plan is there as soon as an entry of the region holds the planner lease"
    ))]
    NoPlan {
        /// The region.
        region: RegionName,
    },
    /// The history does not hold the revision.
    #[error("revision {revision} is not kept")]
    #[diagnostic(help("`daisychute history` lists the revisions that are"))]
    NoRevision {
        /// The revision.
        revision: Revision,
    },
    /// An object on the platform is not what its kind says.
    #[error("{object} on the platform is malformed")]
    #[diagnostic(help("was it written by a later version of daisychute?"))]
    Malformed {
        /// Kind and name of the object.
        object: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// It is not known whether a write took effect.
    #[error("the platform gave no answer, and the write may have taken effect")]
    #[diagnostic(help(
        "look with `daisychute get` or `daisychute plan` before you repeat it; a repeat does no harm"
    ))]
    Unsettled {
        /// The last failure.
        source: CallError,
    },
    /// The platform failed or refused a call.
    #[error("the call to the platform failed")]
    #[diagnostic(help("what is in force stays in force; nothing was changed by this command"))]
    Platform(#[source] CallError),
    /// An entry failed or refused a call.
    #[error("{entry} gave no usable answer")]
    #[diagnostic(help("give the admin address of a running entry"))]
    Entry {
        /// The entry.
        entry: SocketAddr,
        /// Why.
        source: AdminError,
    },
    /// No front that was asked gave its metrics.
    #[error("none of {asked} fronts gave its metrics")]
    #[diagnostic(help("give the address `metrics` of section [front] of running fronts"))]
    NoFront {
        /// How many were asked.
        asked: usize,
    },
    /// The answer can't be written.
    #[error("the answer can't be written")]
    Write(#[from] std::io::Error),
}

impl CliError {
    /// The exit code.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::MissingOption { .. } => Exit::Usage,
            Self::File(_) | Self::Unmeetable { .. } | Self::Platform(CallError::TooLarge) => {
                Exit::Refused
            }
            Self::Conflict(_) | Self::Contended { .. } => Exit::Conflict,
            Self::Unsettled { .. } => Exit::NoAnswer,
            Self::Platform(error) if is_outage(error) => Exit::NoAnswer,
            Self::Entry { source: AdminError::NoAnswer, .. } | Self::NoFront { .. } => {
                Exit::NoAnswer
            }
            _ => Exit::Failure,
        }
    }
}

fn is_outage(error: &CallError) -> bool {
    matches!(
        error,
        CallError::Unavailable(_) | CallError::Throttled { .. } | CallError::RateLimited(_)
    )
}
