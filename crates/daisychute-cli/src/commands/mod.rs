//! Implementations of the commands, one module each.

mod apply;
mod drain;
mod explain;
mod fronts;
mod get;
mod history;
mod plan;
mod preview;
mod status;

use clap::CommandFactory;
use clap_complete::Shell;

pub(crate) use self::apply::Conflict;
use crate::args::{Args, Command};
use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output;

/// Runs the command of the command line.
pub(crate) async fn run(args: Args) -> Result<Exit, CliError> {
    let cx = Context::new(args.shared);
    match args.command {
        Command::Apply { file } => apply::apply(&cx, &file).await,
        Command::Get => get::get(&cx).await,
        Command::Diff { file } => get::diff(&cx, &file).await,
        Command::History { revision: None } => history::list(&cx).await,
        Command::History { revision: Some(revision) } => history::show(&cx, revision).await,
        Command::Status { watch: false, .. } => status::once(&cx).await,
        Command::Status { watch: true, interval } => status::watch(&cx, interval).await,
        Command::Fronts { fronts } => fronts::fronts(&cx, &fronts).await,
        Command::Where { front, path, host, headers } => {
            preview::preview(&cx, front, &path, &host, headers).await
        }
        Command::Drain { endpoint } => drain::drain(&cx, endpoint, true).await,
        Command::Undrain { endpoint } => drain::drain(&cx, endpoint, false).await,
        Command::Plan => plan::plan(&cx).await,
        Command::Explain { request, logs } => explain::explain(&cx, &request, &logs),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: Shell) -> Result<Exit, CliError> {
    let mut script = Vec::new();
    let mut command = Args::command();
    clap_complete::generate(shell, &mut command, "daisychute", &mut script);
    output::write_line(&String::from_utf8_lossy(&script))?;
    Ok(Exit::Done)
}
