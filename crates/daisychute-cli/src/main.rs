//! Command-line client for operators.
//!
//! Writes are conditional updates of objects on the platform. State is read from the platform, the entries and the fronts.

mod admin;
mod args;
mod commands;
mod commit;
mod context;
mod error;
mod history;
mod output;
mod table;

use std::process::ExitCode;

use clap::Parser;

use crate::args::Args;

fn main() -> ExitCode {
    let args = Args::parse();
    let output = args.shared.output;
    match actix_rt::System::new().block_on(commands::run(args)) {
        Ok(code) => code.into(),
        Err(error) => {
            let code = error.exit();
            output::show_error(output, error);
            code.into()
        }
    }
}
