//! Builds all programs, which process tests need, then runs all tests.

use std::env;
use std::fs;
use std::path::Path;
use std::process::Command;

use crate::XtaskError;

/// Tests that fail because of a fault that is not mended yet. Each line starts with the full names of its tests,
/// with their modules.
const KNOWN_RED: &str = "KNOWN-RED.txt";
/// Separates the fields of a line.
const FIELD_SEPARATOR: char = '|';
/// First character of comment lines.
const COMMENT_PREFIX: char = '#';

pub(crate) fn run() -> Result<(), XtaskError> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    let known_red = read_known_red(Path::new(KNOWN_RED))?;
    let mut args = vec!["test", "--workspace", "--locked", "--no-fail-fast", "--"];
    if !known_red.is_empty() {
        // Else a name would also skip the tests whose names contain it.
        args.push("--exact");
    }
    for name in &known_red {
        println!("known red, skipped: {name}");
        args.extend(["--skip", name]);
    }
    cargo(&args)
}

/// Reads the test names from the first field of each line, where they are separated by blanks.
fn read_known_red(path: &Path) -> Result<Vec<String>, XtaskError> {
    let read_error = |source| XtaskError::Read { path: path.to_owned(), source };
    let text = fs::read_to_string(path).map_err(read_error)?;
    let lines = text.lines().filter(|it| !it.starts_with(COMMENT_PREFIX));
    let names = lines.filter_map(|it| it.split(FIELD_SEPARATOR).next());
    Ok(names.flat_map(str::split_whitespace).map(str::to_owned).collect())
}

/// Runs cargo with these arguments; an exit status other than success is an error.
pub(crate) fn cargo(args: &[&str]) -> Result<(), XtaskError> {
    let program = env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let status = Command::new(&program)
        .args(args)
        .status()
        .map_err(|source| XtaskError::Spawn { program: program.clone(), source })?;
    if status.success() {
        Ok(())
    } else {
        Err(XtaskError::Failed { command: format!("cargo {}", args.join(" ")) })
    }
}
