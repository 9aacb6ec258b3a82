//! Measurements.

mod decisions;
mod frames;
mod path;
mod plot;
mod policy;
mod sensitivity;

use clap::Subcommand;

use crate::XtaskError;

/// What to measure.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Compares calls through entry and agent with direct ones, and weighs the entry.
    Path(path::Args),
    /// Replays each trace under each policy and compares with the outcomes stated in it.
    Policy(policy::Args),
    /// Varies the age of reports, the lost cache events and the number of entries.
    Sensitivity(sensitivity::Args),
    /// Draws goodput and roles over a trace.
    Plot(plot::Args),
    /// Times one admission, one choice and one plan at full size.
    Decisions,
    /// Weighs the heartbeats of one connection.
    Frames,
}

impl Measure {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        match self {
            Self::Path(args) => args.run(),
            Self::Policy(args) => args.run(),
            Self::Sensitivity(args) => args.run(),
            Self::Plot(args) => args.run(),
            Self::Decisions => decisions::run(),
            Self::Frames => frames::run(),
        }
    }
}
