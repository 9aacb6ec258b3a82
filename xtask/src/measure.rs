//! Measurements.

mod policy;
mod path;

use clap::Subcommand;

use crate::XtaskError;

/// What to measure.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Replays each trace under each policy and compares with the outcomes stated in it.
    Policy(policy::Args),
    /// Compares calls through entry and agent with direct ones, and weighs the entry.
    Path(path::Args),
}

impl Measure {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        match self {
            Self::Policy(args) => args.run(),
            Self::Path(args) => args.run(),
        }
    }
}
