//! `status`: shows processes and endpoints, and which processes are not yet at the accepted revision.

mod gather;
mod overview;
mod text;

use std::io;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output::{self, OutputFormat};

/// ANSI escape sequences that clear the terminal and move the cursor to its top left.
const CLEAR_SCREEN: &str = "\u{1b}[2J\u{1b}[H";

pub(super) async fn once(cx: &Context) -> Result<Exit, CliError> {
    let overview = gather::gather(cx).await?;
    cx.show(&overview)?;
    Ok(Exit::Done)
}

/// Shows the status every `interval` until the process is stopped. Prints the error of a failed round and continues,
/// except for wrong usage.
pub(super) async fn watch(cx: &Context, interval: Duration) -> Result<Exit, CliError> {
    loop {
        let result = gather::gather(cx).await;
        if cx.output() == OutputFormat::Text && io::IsTerminal::is_terminal(&io::stdout()) {
            output::write_line(CLEAR_SCREEN)?;
        }
        match result {
            Ok(overview) => cx.show(&overview)?,
            Err(error) if error.exit() == Exit::Usage => return Err(error),
            Err(error) => output::show_error(cx.output(), error),
        }
        sleep(interval).await;
    }
}
