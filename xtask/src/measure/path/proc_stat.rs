//! Processor time and memory of a process, from `/proc`.

use std::fs;
use std::time::Duration;

use crate::XtaskError;

/// Clock ticks, the unit of processor time in `/proc/<pid>/stat`, per second.
const TICKS_PER_SECOND: u32 = 100;
/// Indexes of the user and system time in `/proc/<pid>/stat`, where 0 is the field after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
/// Key of the resident memory in `/proc/<pid>/status`.
const RESIDENT: &str = "VmRSS:";

/// Processor time of a process in user and system mode, since its start.
pub(super) fn processor_time(pid: u32) -> Result<Duration, XtaskError> {
    let path = format!("/proc/{pid}/stat");
    let text = read(&path)?;
    let malformed = || XtaskError::Proc { path: path.clone(), source: None };
    // The program's name is in parentheses and may hold blanks; the fields after it hold none.
    let (_, fields) = text.rsplit_once(") ").ok_or_else(malformed)?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|it| it.parse::<u32>().ok());
    let user = ticks(USER_TIME_FIELD).ok_or_else(malformed)?;
    let system = ticks(SYSTEM_TIME_FIELD).ok_or_else(malformed)?;
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
