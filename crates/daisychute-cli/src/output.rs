//! Output of results and errors.

use std::io::{self, Write};

use clap::ValueEnum;
use miette::{JSONReportHandler, Report};
use serde::Serialize;

use crate::error::CliError;

/// Format of results and errors.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum OutputFormat {
    /// Text and tables.
    Text,
    /// One JSON value.
    Json,
}

/// Result of a command. Its JSON form is the serialized value.
pub(crate) trait CommandOutput: Serialize {
    /// Text form for a terminal of `width` columns.
    fn text(&self, width: u16) -> String;
}

/// Writes a result to the standard output.
pub(crate) fn show(
    format: OutputFormat,
    width: u16,
    result: &impl CommandOutput,
) -> io::Result<()> {
    let text = match format {
        OutputFormat::Text => result.text(width),
        OutputFormat::Json => serde_json::to_string(result).map_err(io::Error::from)?,
    };
    write_line(&text)
}

/// Writes text to the standard output, ending with a line break. A closed pipe is no error.
pub(crate) fn write_line(text: &str) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let line_end = if text.is_empty() || text.ends_with('\n') { "" } else { "\n" };
    let result = write!(stdout, "{text}{line_end}").and_then(|()| stdout.flush());
    match result {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => other,
    }
}

/// Writes an error to the standard error.
pub(crate) fn show_error(format: OutputFormat, error: CliError) {
    let text = match format {
        OutputFormat::Text => format!("{:?}", Report::new(error)),
        OutputFormat::Json => {
            let mut json = String::new();
            let rendered = JSONReportHandler::new().render_report(&mut json, &error);
            rendered.map_or_else(|_| error.to_string(), |()| json)
        }
    };
    // A failure to write here can't be reported; the exit code still tells of the error.
    let _ = writeln!(io::stderr().lock(), "{}", text.trim_end());
}
