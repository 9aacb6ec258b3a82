//! The command line.

use clap::{Parser, Subcommand};

/// Runs fronts under random faults and checks what clients and workers see.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Play seeds
    Run {
        /// The first seed
        #[arg(long)]
        seed: u64,
        /// How long faults are made, in minutes
        #[arg(long, default_value_t = 0.2)]
        minutes: f64,
        /// Seeds to play, one after the other
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Fronts to start
        #[arg(long, default_value_t = 3)]
        fronts: usize,
    },
}
