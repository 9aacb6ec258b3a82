//! Measurements.

mod path;

use clap::Subcommand;

use crate::XtaskError;

/// What to measure.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Compares calls through entry and agent with direct ones, and weighs the entry.
    Path(path::Args),
}

impl Measure {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        match self {
            Self::Path(args) => args.run(),
        }
    }
}
