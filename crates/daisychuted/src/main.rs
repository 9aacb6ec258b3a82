//! The daemon of daisychute, in the role that its settings name.

mod admin;
mod agent;
mod args;
mod control;
mod discovery;
mod entry;
mod error;
mod front;
mod logging;
mod metrics;
mod reload;
mod shared_documents;

use clap::Parser;
use daisychute_core::Incarnation;
use daisychute_runtime::{Clock, ignore_hangups};
use daisychute_settings::{FrontSettings, RoleSettings, Settings};

use crate::args::Args;
use crate::error::DaemonError;
use crate::logging::Identity;

fn main() -> miette::Result<()> {
    let args = Args::parse();
    // A file that can't be read is reported by the loader below.
    let text = std::fs::read_to_string(&args.settings).unwrap_or_default();
    if FrontSettings::is_front(&text) {
        return run_front(&args);
    }
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    let incarnation = Clock::incarnation();
    let identity = Identity { process: settings.process.name.clone(), incarnation };
    logging::install(&settings.log, identity)?;
    actix_rt::System::new().block_on(run(settings, incarnation))?;
    Ok(())
}

fn run_front(args: &Args) -> miette::Result<()> {
    let settings = FrontSettings::load(&args.settings)?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    let incarnation = Clock::incarnation();
    let identity = Identity { process: settings.name.clone(), incarnation };
    let log_writer = logging::install_front(&settings.log, identity)?;
    let front = front::run(args.settings.clone(), settings, incarnation, log_writer.clone());
    let result = actix_rt::System::new().block_on(front);
    if let Err(error) = &result {
        log::error!(error:%; "front ended");
    }
    log_writer.flush();
    Ok(result?)
}

async fn run(settings: Settings, incarnation: Incarnation) -> Result<(), DaemonError> {
    ignore_hangups().map_err(DaemonError::Signals)?;
    match settings.role.clone() {
        RoleSettings::Entry(role) => entry::run(settings, role, incarnation).await,
        RoleSettings::Agent(role) => agent::run(settings, role, incarnation).await,
    }
}
