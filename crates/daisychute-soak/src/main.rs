//! Runs fronts as real processes under random faults and checks what clients and workers see.
//!
//! `daisychute-soak run --seed N --minutes M` plays one seed. It ends only the processes that it started.

mod args;
mod checks;
mod clients;
mod faults;
mod run;

use std::process::ExitCode;

use clap::Parser;

use crate::args::{Args, Command};

fn main() -> ExitCode {
    let Command::Run { seed, minutes, seeds, fronts } = Args::parse().command;
    let mut failed = 0;
    for seed in seed..seed + seeds {
        let outcome = actix_rt::System::new().block_on(run::run(seed, minutes, fronts));
        match outcome {
            Ok(report) => {
                println!("seed {seed}: {report}");
                failed += u64::from(!report.violations.is_empty());
            }
            Err(error) => {
                println!("seed {seed}: the soak itself failed: {error}");
                failed += 1;
            }
        }
    }
    println!("{seeds} seeds, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
