//! `daisychute explain`: what became of one request.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

use daisychute_explain::{Explanation, LogLine};

use crate::context::Context;
use crate::error::{CliError, Exit};
use crate::output::{self, Output};

/// Stands for the standard input among the logs.
const STDIN: &str = "-";

/// Searches the logs for a request and prints its time line and the cause of its end.
pub(crate) fn explain(cx: &Context, request: &str, logs: &[PathBuf]) -> Result<Exit, CliError> {
    let mut lines = Vec::new();
    for log in logs {
        lines.extend(read(log)?);
    }
    if logs.is_empty() {
        lines.extend(read(Path::new(STDIN))?);
    }
    let Some(explanation) = Explanation::of(request, &lines) else {
        return Err(CliError::UnknownRequest { request: request.to_owned() });
    };
    match cx.output() {
        Output::Json => output::write_line(&serde_json::json!(explanation).to_string())?,
        Output::Text => {
            for line in &explanation.lines {
                output::write_line(&text(line))?;
            }
            output::write_line(&format!("\ncause: {}", explanation.cause))?;
        }
    }
    Ok(Exit::Done)
}

fn read(log: &Path) -> Result<Vec<LogLine>, CliError> {
    let unreadable = |source| CliError::Log { log: log.to_owned(), source };
    let source: Box<dyn Read> = if log == Path::new(STDIN) {
        Box::new(io::stdin())
    } else {
        Box::new(File::open(log).map_err(unreadable)?)
    };
    let mut found = Vec::new();
    for line in BufReader::new(source).split(b'\n') {
        // Bytes of other programs may stand between the lines.
        let line = line.map_err(unreadable)?;
        found.extend(LogLine::parse(&String::from_utf8_lossy(&line)));
    }
    Ok(found)
}

fn text(line: &LogLine) -> String {
    let passed_over = ["level", "target", "incarnation", "request"];
    let fields = line
        .fields
        .iter()
        .filter(|(key, it)| !passed_over.contains(&key.as_str()) && !it.is_empty());
    let fields: Vec<_> = fields.map(|(key, it)| format!("{key}={it}")).collect();
    format!("{} {} {}: {}", line.time, line.process, line.message, fields.join(" "))
}
