//! Runs fronts as real processes under random faults and checks responses and executions.
//!
//! `daisychute-soak run --seed N --minutes M` runs one seed, and `--seeds K` the K seeds from N on. The soak ends only the
//! processes that it started, also when it is ended by `SIGTERM` or `SIGINT`.

mod args;
mod changes;
mod checks;
mod clients;
mod cuts;
mod duties;
mod faults;
mod limits;
mod notices;
mod poison;
mod report;
mod run;
mod run_options;
mod streams;
mod versions;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;

use daisychute_platform_standin::{WorkerManners, serve_worker};
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{Args, Command};
use crate::report::Report;
use crate::run::SoakError;
use crate::run_options::RunOptions;

fn main() -> ExitCode {
    match Args::parse().command {
        Command::Run { seed, seeds, logs, options } => {
            run_seeds(seed, seeds, logs.as_deref(), options)
        }
        Command::Worker {
            id,
            version,
            address,
            departure,
            end_delay_ms,
            one_response,
            lapses,
            deadlines,
            last_chunks,
        } => {
            let end_delay = Duration::from_millis(end_delay_ms);
            let manners = WorkerManners {
                departure,
                end_delay,
                one_response,
                lapses,
                deadlines,
                last_chunks,
            };
            actix_rt::System::new().block_on(async {
                match serve_worker(&id, &version, address, manners).await {
                    // The system closes the connections that are left, and not the runtime one by one.
                    Ok(()) => std::process::exit(0),
                    Err(error) => eprintln!("worker {id}: {error}"),
                }
            });
            ExitCode::FAILURE
        }
    }
}

/// Runs one seed. Ends all processes of the run if a signal arrives before its end.
async fn run_seed(seed: u64, options: RunOptions) -> Result<Report, SoakError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(SoakError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(SoakError::Signal)?;
    let run = async {
        if options.streams {
            streams::run(seed, options).await
        } else {
            run::run(seed, options).await
        }
    };
    // The processes are killed when the run is dropped.
    tokio::select! {
        report = run => report,
        _ = terminate.recv() => Err(SoakError::Ended),
        _ = interrupt.recv() => Err(SoakError::Ended),
    }
}

fn run_seeds(seed: u64, seeds: u64, logs: Option<&Path>, options: RunOptions) -> ExitCode {
    let mut failed = 0;
    for seed in seed..seed + seeds {
        let outcome = actix_rt::System::new().block_on(run_seed(seed, options));
        match outcome {
            Ok(report) => {
                println!("seed {seed}: {report}");
                if let Some(dir) = logs.filter(|_| !report.violations.is_empty()) {
                    write_logs(dir, seed, &report);
                }
                failed += u64::from(!report.violations.is_empty());
            }
            Err(SoakError::Ended) => {
                println!("seed {seed}: ended by a signal");
                return ExitCode::FAILURE;
            }
            Err(error) => {
                println!("seed {seed}: the soak could not be completed: {error}");
                failed += 1;
            }
        }
    }
    println!("{seeds} seeds, {failed} failed");
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Writes the violations of a seed, with the log lines that concern them, and the logs of its fronts.
fn write_logs(dir: &Path, seed: u64, report: &Report) {
    let violations = report.violations.iter().map(ToString::to_string);
    let violations: Vec<_> = violations.chain(report.log_lines.iter().cloned()).collect();
    let fronts = report.front_logs.iter().enumerate();
    let fronts = fronts.map(|(front, lines)| (format!("front-{front}"), lines));
    for (name, lines) in fronts.chain([("violations".to_owned(), &violations)]) {
        let path = dir.join(format!("seed-{seed}-{name}.log"));
        if let Err(error) = std::fs::write(&path, lines.join("\n")) {
            println!("{}: {error}", path.display());
        }
    }
}
