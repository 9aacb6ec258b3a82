//! Generates traces of requests and replays them against a live deployment.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::PathBuf;
use std::rc::Rc;

use clap::{Parser, Subcommand};
use daisychute_load::generate::{Scenario, generate};
use daisychute_load::live::{LiveOptions, replay_live};
use daisychute_load::trace::{SampleDeployment, Trace, TraceError};

/// Generates traces of requests and replays them against a live deployment.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Generates a trace.
    Generate(Generate),
    /// Replays a trace against a live entry.
    Replay(Replay),
}

#[derive(Debug, clap::Args)]
struct Generate {
    /// The deployment that the trace is for.
    #[arg(long)]
    deployment: SampleDeployment,
    /// The course of load and mix over time.
    #[arg(long)]
    scenario: Scenario,
    /// The seed of the generator; the same seed gives the same file.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The trace file to write.
    out: PathBuf,
}

#[derive(Debug, clap::Args)]
struct Replay {
    /// The base address of an entry.
    #[arg(long)]
    entry: String,
    /// The bearer token, if the entry requires one.
    #[arg(long)]
    token: Option<String>,
    /// Sends requests this many times as fast as recorded.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Sends only the requests of this many seconds from the start of the trace.
    #[arg(long)]
    seconds: Option<f64>,
    /// The trace file to replay.
    trace: PathBuf,
}

fn main() -> miette::Result<()> {
    match Args::parse().command {
        Command::Generate(args) => args.run()?,
        Command::Replay(args) => args.run()?,
    }
    Ok(())
}

impl Generate {
    fn run(&self) -> Result<(), TraceError> {
        let file = BufWriter::new(File::create(&self.out)?);
        generate(self.deployment, self.scenario, self.seed).write(file)
    }
}

impl Replay {
    fn run(self) -> Result<(), TraceError> {
        let trace = Rc::new(Trace::read(BufReader::new(File::open(&self.trace)?))?);
        let options = LiveOptions::new(self.entry.trim_end_matches('/'))
            .token(self.token)
            .speed(self.speed)
            .seconds(self.seconds);
        let report = actix_rt::System::new().block_on(replay_live(Rc::clone(&trace), options));
        print!("{} {report}", trace.header.trace);
        Ok(())
    }
}
