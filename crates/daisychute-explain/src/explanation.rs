//! The log lines of one request and the cause of its end.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::LogLine;
use crate::cause::cause;

/// Messages about the state of a process that may explain the end of its requests.
const CONTEXT_MESSAGES: [&str; 16] = [
    "directory lost; what is known stays in force",
    "directory regained",
    "configuration in force",
    "snapshot taken from peer",
    "front started",
    "listening",
    "stop requested",
    "log lines left out",
    "endpoint not listed any more",
    PAUSED,
    LEAVING,
    LIMITED,
    PART_QUARANTINED,
    PART_RELEASED,
    REQUEST_QUARANTINED,
    REQUEST_RELEASED,
];
/// Message about an endpoint that wants no requests for a time.
pub(crate) const PAUSED: &str = "endpoint asked for a pause";
/// Message about an endpoint that takes no new requests any more.
pub(crate) const LEAVING: &str = "endpoint announced that it is leaving";
/// Message about a limit on the rate of requests that an endpoint names, or names no more.
pub(crate) const LIMITED: &str = "endpoint names another limit";
/// Message about a prompt part whose requests aren't sent to engines.
pub(crate) const PART_QUARANTINED: &str =
    "prompt part quarantined: engines ended under its requests";
/// Message about a prompt part whose requests are sent again.
const PART_RELEASED: &str = "prompt part is sound; its quarantine is lifted";
/// Message about a request that isn't sent because of such a part.
pub(crate) const HAS_QUARANTINED_PART: &str = "request has a quarantined prompt part";
/// Message about a request that isn't sent to endpoints when it comes again.
pub(crate) const REQUEST_QUARANTINED: &str = "request quarantined: endpoints ended under it";
/// Message about a request that is sent again.
const REQUEST_RELEASED: &str = "request was answered; its quarantine is lifted";
/// Message about a request that isn't sent because it is quarantined itself.
pub(crate) const IS_QUARANTINED: &str = "request is quarantined";
/// Maximum number of context lines in an explanation; the latest are taken.
const MAX_CONTEXT_LINES: usize = 12;

/// The log lines of one request in order of time, and the cause of its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// Id of the request, as in the `request` field of the lines.
    pub request: String,
    /// Lines of the request, and up to 12 about the state of its processes until then; sorted by time.
    pub lines: Vec<LogLine>,
    /// Why the request ended as it did, in one sentence.
    pub cause: String,
}

impl Explanation {
    /// Explains the request with this id; `None` if no line has it.
    #[must_use]
    pub fn of(request: &str, log: &[LogLine]) -> Option<Self> {
        let is_own = |it: &&LogLine| it.field("request") == request;
        let mut request_lines: Vec<_> = log.iter().filter(is_own).cloned().collect();
        request_lines.sort_by(|a, b| a.time.cmp(&b.time));
        let last = request_lines.last()?.time.clone();
        let processes: BTreeSet<_> = request_lines.iter().map(|it| it.process.clone()).collect();
        let endpoints: BTreeSet<_> =
            request_lines.iter().map(|it| it.field("endpoint").to_owned()).collect();
        // Any endpoint may be a reason why none took the request.
        let lacked_endpoint = request_lines
            .iter()
            .any(|it| matches!(it.field("reason"), "paused" | "limited" | "no_endpoint"));
        let quarantined = |message: &str, field: &str| -> BTreeSet<_> {
            let lines = request_lines.iter().filter(|it| it.message == message);
            lines.map(|it| it.field(field).to_owned()).collect()
        };
        let parts = quarantined(HAS_QUARANTINED_PART, "part_key");
        let fingerprints = quarantined(IS_QUARANTINED, "fingerprint");
        let is_context = |it: &&LogLine| {
            let known = CONTEXT_MESSAGES.contains(&it.message.as_str());
            let relevant = match it.message.as_str() {
                "endpoint not listed any more" => endpoints.contains(it.field("endpoint")),
                PART_QUARANTINED | PART_RELEASED => parts.contains(it.field("part_key")),
                REQUEST_QUARANTINED | REQUEST_RELEASED => {
                    fingerprints.contains(it.field("fingerprint"))
                }
                PAUSED | LEAVING | LIMITED => {
                    lacked_endpoint || endpoints.contains(it.field("endpoint"))
                }
                _ => true,
            };
            known && relevant && processes.contains(&it.process) && it.time <= last
        };
        let mut context_lines: Vec<_> = log.iter().filter(is_context).cloned().collect();
        context_lines.sort_by(|a, b| a.time.cmp(&b.time));
        let first = context_lines.len().saturating_sub(MAX_CONTEXT_LINES);
        let context_lines = context_lines.split_off(first);
        let cause = cause(&request_lines, &context_lines);
        let mut lines = request_lines;
        lines.extend(context_lines);
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        Some(Self { request: request.to_owned(), lines, cause })
    }
}
