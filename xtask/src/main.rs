//! Chores of the developers: `cargo xtask demo`, `cargo xtask test`.

mod demo;
mod error;
mod measure;
mod results;
mod test;

use std::error::Error as _;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

pub(crate) use crate::error::XtaskError;

/// Chores of the developers.
#[derive(Debug, Parser)]
struct Args {
    #[command(subcommand)]
    chore: Chore,
}

#[derive(Debug, Subcommand)]
enum Chore {
    /// Runs the main job on embedded stand-ins.
    Demo,
    /// Builds every program, then runs every test.
    Test,
    /// Writes the page of results from the journal of the users' bench.
    Results,
    /// Measures and prints one line for each figure.
    #[command(subcommand)]
    Measure(measure::Measure),
}

fn main() -> ExitCode {
    match run(&Args::parse().chore) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            report(&error);
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

/// Prints an error and what caused it.
fn report(error: &XtaskError) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(error) = cause {
        eprintln!("  caused by: {error}");
        cause = error.source();
    }
}
