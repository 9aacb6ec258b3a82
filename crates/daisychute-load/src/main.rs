//! Generates traces of requests and replays them against a live deployment.

use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use daisychute_load::generate::{Scenario, generate};
use daisychute_load::trace::{DeploymentName, TraceError};

/// Generates traces of requests and replays them against a live deployment.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Makes a trace.
    Generate(Generate),
}

#[derive(Debug, clap::Args)]
struct Generate {
    /// The deployment.
    #[arg(long)]
    deployment: DeploymentName,
    /// The shape of the load.
    #[arg(long)]
    scenario: Scenario,
    /// The seed; the same seed gives the same bytes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The file to write.
    out: PathBuf,
}

fn main() -> miette::Result<()> {
    match Args::parse().command {
        Command::Generate(args) => args.run()?,
    }
    Ok(())
}

impl Generate {
    fn run(&self) -> Result<(), TraceError> {
        let file = BufWriter::new(File::create(&self.out)?);
        generate(self.deployment, self.scenario, self.seed).write(file)
    }
}
