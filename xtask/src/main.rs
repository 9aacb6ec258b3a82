//! Development tasks, run as `cargo xtask TASK`.

mod demo;
mod error;
mod measure;
mod results;
mod test;

use std::error::Error as _;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

pub(crate) use crate::error::XtaskError;

/// Development tasks of daisychute.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    chore: Chore,
}

#[derive(Debug, Subcommand)]
enum Chore {
    /// Runs a demo with stand-ins of the platform and the engines.
    Demo,
    /// Builds all programs, then runs all tests.
    Test,
    /// Writes docs/RESULTS.md from the journal of the users' bench.
    Results,
    /// Runs a measurement and prints its figures.
    #[command(subcommand)]
    Measure(measure::Measure),
}

fn main() -> ExitCode {
    match run(&Args::parse().chore) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}

fn run(chore: &Chore) -> Result<(), XtaskError> {
    match chore {
        Chore::Demo => demo::run(),
        Chore::Test => test::run(),
        Chore::Results => results::run(),
        Chore::Measure(it) => it.run(),
    }
}

/// Prints an error and its causes.
fn print_error(error: &XtaskError) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
}
