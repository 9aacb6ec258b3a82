//! The daemon of daisychute, in the role that its settings name.

mod admin;
mod agent;
mod args;
mod discovery;
mod entry;
mod error;
mod logging;

use clap::Parser;
use daisychute_settings::{RoleSettings, Settings};

use crate::args::Args;
use crate::error::DaemonError;

fn main() -> miette::Result<()> {
    let args = Args::parse();
    let settings = Settings::load(&args.settings)?;
    if args.check {
        println!("{} is valid", args.settings.display());
        return Ok(());
    }
    logging::install(&settings.log)?;
    actix_rt::System::new().block_on(run(settings))?;
    Ok(())
}

async fn run(settings: Settings) -> Result<(), DaemonError> {
    match settings.role.clone() {
        RoleSettings::Entry(role) => entry::run(settings, role).await,
        RoleSettings::Agent(role) => agent::run(settings, role).await,
    }
}
