//! How answers and errors are shown.

use std::io::{self, Write};

use clap::ValueEnum;
use miette::{JSONReportHandler, Report};
use serde::Serialize;

use crate::error::CliError;

/// The form of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// Text and tables.
    Text,
    /// One JSON value.
    Json,
}

/// What a command answers. Its JSON form is its serialized one.
pub(crate) trait Answer: Serialize {
    /// The text form, for a terminal of this width in columns.
    fn text(&self, width: u16) -> String;
}

/// Writes an answer to the standard output. A reader that went away is no failure.
pub(crate) fn show(output: Output, width: u16, answer: &impl Answer) -> io::Result<()> {
    let shown = match output {
        Output::Text => answer.text(width),
        Output::Json => serde_json::to_string(answer).map_err(io::Error::from)?,
    };
    write_line(&shown)
}

/// Writes text, and the end of its last line where that lacks.
pub(crate) fn write_line(text: &str) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let line_end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
    let written = write!(stdout, "{text}{line_end}").and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => other,
    }
}

/// Writes an error to the standard error output.
pub(crate) fn show_error(output: Output, error: CliError) {
    let shown = match output {
        Output::Text => format!("{:?}", Report::new(error)),
        Output::Json => {
            let mut shown = String::new();
            let rendered = JSONReportHandler::new().render_report(&mut shown, &error);
            rendered.map_or_else(|_| error.to_string(), |()| shown)
        }
    };
    // There is nowhere left to say that this failed; the exit code remains.
    let _ = writeln!(io::stderr().lock(), "{}", shown.trim_end());
}
