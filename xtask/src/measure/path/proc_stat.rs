//! What the system says of a process.

use std::fs;
use std::time::Duration;

use crate::XtaskError;

/// The unit of processor time in `/proc/<pid>/stat`.
const TICKS_PER_SECOND: u32 = 100;
/// User time, counted from the field after the program's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;
const RESIDENT: &str = "VmRSS:";

/// Processor time that a process has used, in user and system mode.
pub(super) fn processor_time(pid: u32) -> Result<Duration, XtaskError> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    let malformed = || XtaskError::Proc { path: path.clone(), source: None };
    // The name may hold blanks, but what follows its closing parenthesis holds none inside a field.
    let (_, fields) = text.rsplit_once(") ").ok_or_else(malformed)?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u32>().ok());
    let user = ticks(USER_TIME).ok_or_else(malformed)?;
    let system = ticks(SYSTEM_TIME).ok_or_else(malformed)?;
    Ok(Duration::from_secs(1) * (user + system) / TICKS_PER_SECOND)
}

/// Resident memory of a process, in KiB.
pub(super) fn resident_kib(pid: u32) -> Result<u64, XtaskError> {
    let path = format!("/proc/{pid}/status");
    let text = read(&path)?;
    let line = text.lines().find_map(|it| it.strip_prefix(RESIDENT));
    let value = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    value.ok_or(XtaskError::Proc { path, source: None })
}

fn read(path: &str) -> Result<String, XtaskError> {
    let text = fs::read_to_string(path);
    text.map_err(|source| XtaskError::Proc { path: path.to_owned(), source: Some(source) })
}
