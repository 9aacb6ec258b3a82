//! Measurements.

mod path;
mod policy;

use clap::Subcommand;

use crate::XtaskError;

/// What to measure.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Compares calls through entry and agent with direct ones, and weighs the entry.
    Path(path::Args),
    /// Replays each trace under each policy and compares with the outcomes stated in it.
    Policy(policy::Args),
}

impl Measure {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        match self {
            Self::Path(args) => args.run(),
            Self::Policy(args) => args.run(),
        }
    }
}
