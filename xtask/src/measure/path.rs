//! What the way through entry and agent costs.
//!
//! Prints one line `name value unit` per figure; each target gets a line `met NAME` or `missed NAME` of its own.
//! Everything runs in release mode as separate processes on loopback.

mod added_latency;
mod caller;
mod memory;
mod proc_stat;
mod processor;
mod throughput;

use crate::XtaskError;
use crate::test::cargo;

/// Measures the way through entry and agent.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Measure only this.
    #[arg(long, value_enum)]
    only: Option<Part>,
}

/// A part of the measurement, with processes of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Part {
    /// Latency that entry and agent add.
    Latency,
    /// Requests a second of one entry.
    Throughput,
    /// Processor share of one entry that streams.
    Processor,
    /// Memory of one entry's open streams.
    Memory,
}

impl Part {
    const ALL: [Self; 4] = [Self::Latency, Self::Throughput, Self::Processor, Self::Memory];

    async fn run(self) -> Result<(), XtaskError> {
        match self {
            Self::Latency => added_latency::run().await,
            Self::Throughput => throughput::run().await,
            Self::Processor => processor::run().await,
            Self::Memory => memory::run().await,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Latency => "latency",
            Self::Throughput => "throughput",
            Self::Processor => "processor",
            Self::Memory => "memory",
        }
    }
}

impl Args {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        if cfg!(debug_assertions) {
            return self.run_released();
        }
        let parts = Part::ALL.into_iter().filter(|it| self.only.is_none_or(|only| only == *it));
        actix_rt::System::new().block_on(async {
            for part in parts {
                part.run().await?;
            }
            Ok(())
        })
    }

    /// Builds every program in release mode and runs the measurement from there.
    fn run_released(&self) -> Result<(), XtaskError> {
        cargo(&["build", "--workspace", "--release", "--bins", "--locked"])?;
        let mut args = vec![
            "run",
            "--quiet",
            "--release",
            "--locked",
            "--package",
            "xtask",
            "--",
            "measure",
            "path",
        ];
        if let Some(part) = self.only {
            args.extend(["--only", part.name()]);
        }
        cargo(&args)
    }
}

/// Prints one figure.
fn figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// Prints whether a figure stays below its target.
fn target(name: &str, value: f64, below: f64) {
    let verdict = if value < below { "met" } else { "missed" };
    println!("{verdict} {name}");
}
