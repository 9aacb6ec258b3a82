//! `explain`: shows from logs how one request ended, and why.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use daisychute_explain::{Explanation, LogLine};

use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output::{self, OutputFormat};

/// Log argument that stands for the standard input.
const STDIN: &str = "-";

/// Prints the log lines of a request in order of time, and the cause of its end.
pub(crate) fn explain(cx: &Context, request: &str, logs: &[PathBuf]) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(read_log(log)?);
    }
    if logs.is_empty() {
        lines.extend(read_log(Path::new(STDIN))?);
    }
    let Some(explanation) = Explanation::of(request, &lines) else {
        return Err(CliError::UnknownRequest { request: request.to_owned() });
    };
    match cx.output() {
        OutputFormat::Json => output::write_line(&serde_json::json!(explanation).to_string())?,
        OutputFormat::Text => {
            for line in &explanation.lines {
                output::write_line(&format_line(line))?;
            }
            output::write_line(&format!("\ncause: {}", explanation.cause))?;
        }
    }
    Ok(Exit::Done)
}

fn read_log(log: &Path) -> Result<Vec<LogLine>, CliError> {
    let unreadable = |source| CliError::Log { log: log.to_owned(), source };
    let source: Box<dyn Read> = if log == Path::new(STDIN) {
        Box::new(io::stdin())
    } else {
        Box::new(File::open(log).map_err(unreadable)?)
    };
    let mut lines = Vec::new();
    for line in BufReader::new(source).split(b'\n') {
        // The log may hold output of other programs, which need not be UTF-8.
        let line = line.map_err(unreadable)?;
        lines.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(lines)
}

fn format_line(line: &LogLine) -> String {
    let hidden_keys = ["level", "target", "incarnation", "request"];
    let fields = line
        .fields
        .iter()
        .filter(|(key, it)| !hidden_keys.contains(&key.as_str()) && !it.is_empty());
    let fields: Vec<_> = fields.map(|(key, it)| format!("{key}={it}")).collect();
    format!("{} {} {}: {}", line.time, line.process, line.message, fields.join(" "))
}
