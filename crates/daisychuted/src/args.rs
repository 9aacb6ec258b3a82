//! Command-line arguments.

use std::path::PathBuf;

use clap::Parser;

/// The daemon of daisychute, in the role that its settings name.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    /// The settings, an INI file.
    pub(crate) settings: PathBuf,
    /// Check the settings and end without starting.
    #[arg(long)]
    pub(crate) check: bool,
}
