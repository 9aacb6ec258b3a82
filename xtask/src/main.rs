//! Chores of the developers: `cargo xtask test`, and more to come.

mod error;
mod measure;
mod test;

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
    /// Builds every program, then runs every test.
    Test,
    /// Measures and prints one line for each figure.
    #[command(subcommand)]
    Measure(measure::Measure),
}

fn main() -> miette::Result<()> {
    match Args::parse().chore {
        Chore::Test => test::run()?,
        Chore::Measure(it) => it.run()?,
    }
    Ok(())
}
