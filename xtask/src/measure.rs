//! Measurements of latency, throughput, memory and routing policies.

mod decisions;
mod frames;
mod path;
mod plot;
mod policy;
mod sensitivity;

use clap::Subcommand;

use crate::XtaskError;

/// Measurement to run.
#[derive(Debug, Subcommand)]
pub(crate) enum Measure {
    /// Measures the latency that entry and agent add, and throughput, processor share and memory of the entry.
    Path(path::Args),
    /// Replays each trace under each policy and compares the results with the outcomes that the trace states.
    Policy(policy::Args),
    /// Replays traces with older load reports, lost cache events and different numbers of entries.
    Sensitivity(sensitivity::Args),
    /// Plots goodput and engine roles over the time of a trace.
    Plot(plot::Args),
    /// Measures the time of one admission, one endpoint selection and one role plan with 620 endpoints.
    Decisions,
    /// Prints the encoded size of heartbeats between entry and agent.
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
