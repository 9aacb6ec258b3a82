//! `status`: processes, endpoints, and which processes are not yet at the accepted revision.

mod gather;
mod overview;
mod text;

use std::io;
use std::time::Duration;

use actix_rt::time::sleep;

use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output::{self, Output};

/// Clears the terminal and goes to its top.
const CLEAR: &str = "\u{1b}[2J\u{1b}[H";

pub(super) async fn once(cx: &Context) -> Result<Exit, CliError> {
    let overview = gather::gather(cx).await?;
    cx.show(&overview)?;
    Ok(Exit::Done)
}

/// Shows it until the process is stopped. A round that fails is shown as such and does not end the rounds.
pub(super) async fn watch(cx: &Context, interval: Duration) -> Result<Exit, CliError> {
    loop {
        let gathered = gather::gather(cx).await;
        if cx.output() == Output::Text && io::IsTerminal::is_terminal(&io::stdout()) {
            output::write_line(CLEAR)?;
        }
        match gathered {
            Ok(overview) => cx.show(&overview)?,
            Err(error) if error.exit() == Exit::Usage => return Err(error),
            Err(error) => output::show_error(cx.output(), error),
        }
        sleep(interval).await;
    }
}
