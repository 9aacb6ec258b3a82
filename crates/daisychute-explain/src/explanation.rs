//! What became of one request.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::LogLine;
use crate::cause::cause;

/// Messages that tell of a process's surroundings.
const SURROUNDINGS: [&str; 9] = [
    "directory lost; what is known stays in force",
    "directory regained",
    "configuration in force",
    "snapshot taken from peer",
    "front started",
    "listening",
    "stop requested",
    "log lines left out",
    "endpoint not listed any more",
];
/// Lines about the surroundings that are shown before the request, at most.
const MOST_SURROUNDINGS: usize = 12;

/// The time line of one request, with the cause of its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The id of the request.
    pub request: String,
    /// The lines about the request, and those about the surroundings that matter to it, by time.
    pub lines: Vec<LogLine>,
    /// Why it ended as it did, in a sentence.
    pub cause: String,
}

impl Explanation {
    /// Explains the request with this id; none where no line tells of it.
    #[must_use]
    pub fn of(request: &str, log: &[LogLine]) -> Option<Self> {
        let own = |it: &&LogLine| it.field("request") == request;
        let mut about: Vec<_> = log.iter().filter(own).cloned().collect();
        about.sort_by(|a, b| a.time.cmp(&b.time));
        let last = about.last()?.time.clone();
        let processes: BTreeSet<_> = about.iter().map(|it| it.process.clone()).collect();
        let endpoints: BTreeSet<_> =
            about.iter().map(|it| it.field("endpoint").to_owned()).collect();
        let around = |it: &&LogLine| {
            let known = SURROUNDINGS.contains(&it.message.as_str());
            let gone = it.message == "endpoint not listed any more";
            let matters = !gone || endpoints.contains(it.field("endpoint"));
            known && matters && processes.contains(&it.process) && it.time <= last
        };
        let mut around: Vec<_> = log.iter().filter(around).cloned().collect();
        around.sort_by(|a, b| a.time.cmp(&b.time));
        let from = around.len().saturating_sub(MOST_SURROUNDINGS);
        let around = around.split_off(from);
        let cause = cause(&about, &around);
        let mut lines = about;
        lines.extend(around);
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        Some(Self { request: request.to_owned(), lines, cause })
    }
}
