//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Parser, Subcommand};
use daisychute_platform_standin::Departure;

use crate::run_options::RunOptions;

/// Runs fronts under random faults and checks responses and executions.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run one or more seeds
    Run {
        /// The first seed
        #[arg(long)]
        seed: u64,
        /// Number of seeds to run, one after the other
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Existing directory for the logs of the fronts of seeds with violations
        #[arg(long)]
        logs: Option<PathBuf>,
        /// What each seed consists of
        #[command(flatten)]
        options: RunOptions,
    },
    /// Serve as a decode worker; a run starts such processes
    Worker {
        /// Id of the worker
        id: String,
        /// Version of the worker's software
        version: String,
        /// Address to listen on
        address: SocketAddr,
        /// How the process ends once it is told to stop
        #[arg(long, default_value_t = Departure::AtOnce)]
        departure: Departure,
        /// Time from then until its end, in ms
        #[arg(long, default_value_t = 0)]
        end_delay_ms: u64,
        /// Close each connection after one response
        #[arg(long)]
        one_response: bool,
        /// Have faults from time to time that are drawn from this seed
        #[arg(long)]
        lapses: Option<u64>,
        /// Stop streams at the deadlines of their requests, in ways that are drawn from this seed
        #[arg(long)]
        deadlines: Option<u64>,
        /// End chunked streams that are cancelled by a last chunk
        #[arg(long)]
        last_chunks: bool,
    },
}
