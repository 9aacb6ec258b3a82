//! `cargo xtask measure path`: cost of the path through entry and agent.
//!
//! Prints one line `name value unit` per figure, and a line `met NAME` or `missed NAME` per target. The measured programs
//! are release builds and run as separate processes on loopback.

mod added_latency;
mod completion_client;
mod memory;
mod proc_stat;
mod processor;
mod throughput;

use crate::XtaskError;
use crate::test::cargo;

/// Measures the path through entry and agent.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Run only this part of the measurement.
    #[arg(long, value_enum)]
    only: Option<Part>,
}

/// A part of the measurement, which starts its own processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Part {
    /// Latency that entry and agent add to a call.
    Latency,
    /// Requests per second of one entry.
    Throughput,
    /// Processor share of one entry while it relays streams.
    Processor,
    /// Memory of one entry with 1000 open streams.
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
            return self.run_release_build();
        }
        let parts = Part::ALL.into_iter().filter(|it| self.only.is_none_or(|only| only == *it));
        actix_rt::System::new().block_on(async {
            for part in parts {
                part.run().await?;
            }
            Ok(())
        })
    }

    /// Builds all programs in release mode and runs the measurement with the release build of this program.
    fn run_release_build(&self) -> Result<(), XtaskError> {
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
fn print_figure(name: &str, value: f64, unit: &str) {
    println!("{name} {value:.3} {unit}");
}

/// Prints whether a figure is below its target.
fn print_verdict(name: &str, value: f64, target: f64) {
    let verdict = if value < target { "met" } else { "missed" };
    println!("{verdict} {name}");
}
