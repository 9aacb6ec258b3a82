//! Derives the cause of a request's end from its log lines.

use std::collections::BTreeMap;

use crate::LogLine;
use crate::explanation::{
    HAS_QUARANTINED_PART, IS_QUARANTINED, LEAVING, LIMITED, PART_QUARANTINED, PAUSED,
    REQUEST_QUARANTINED,
};

/// Why a request ended as it did, in one sentence.
///
/// `request_lines` are the lines with its id, `context_lines` those about its processes; both are sorted by time.
pub(crate) fn cause(request_lines: &[LogLine], context_lines: &[LogLine]) -> String {
    let Some(end) = request_lines.iter().rev().find(|it| it.message == "request ended") else {
        return "it hasn't ended, or its last log line was lost with the process".to_owned();
    };
    let process = &end.process;
    let elapsed = end.field("elapsed_ms");
    match (end.field("outcome"), end.field("reason")) {
        ("answered", _) => format!("answered by {process} after {elapsed} ms"),
        ("left", _) => {
            format!("the client disconnected after {elapsed} ms, before the response was complete")
        }
        ("relayed", _) => {
            format!(
                "{} sent an error response, which {process} relayed",
                last_endpoint(request_lines)
            )
        }
        ("refused", "overload") => format!(
            "refused at once by {process}: predicted to take {} ms at the best endpoint, {} ms of it behind earlier \
             requests; Retry-After {} ms",
            end.field("predicted_ms"),
            end.field("wait_ms"),
            option_value(end.field("retry_after_ms")),
        ),
        ("refused", "no_configuration") => no_configuration(end, context_lines),
        ("refused", "no_endpoint") => {
            format!(
                "refused by {process}: no endpoint of the service accepted work{}{}",
                leaving_endpoints(end, context_lines),
                directory_state(end, context_lines)
            )
        }
        ("refused", "paused") => format!(
            "refused at once by {process}, not run: all endpoints that could take it had asked for a pause{}; \
             Retry-After {} ms",
            pauses(end, context_lines),
            option_value(end.field("retry_after_ms")),
        ),
        ("refused", "limited") => format!(
            "refused at once by {process}, not run: {process}'s share of the limits was used up that the endpoints named \
             which could take it{}; Retry-After {} ms",
            limits(end, context_lines),
            option_value(end.field("retry_after_ms")),
        ),
        (outcome @ ("refused" | "failed"), "quarantined") => {
            quarantined(outcome, end, request_lines, context_lines)
        }
        ("refused", "origin_unknown") => format!(
            "refused by {process}, not run: the client resumed a stream, and {process} didn't know which software version \
             had begun it: no front that it reaches saw that, and the store left more than one possibility or didn't answer",
        ),
        ("refused", "version_gone") => format!(
            "refused by {process}, not run: the client resumed a stream, and no endpoint of the software version that had \
             begun it accepted work, or its route had left their service",
        ),
        ("refused", reason) => format!(
            "refused by {process}, not run: {reason} ({}){}",
            end.field("trail").trim_end(),
            directory_state(end, context_lines),
        ),
        (outcome @ ("cut" | "failed"), "broken") => format!(
            "{} broke off ({}); {}",
            last_endpoint(request_lines),
            end.field("trail").trim_end(),
            if outcome == "cut" {
                "part of the answer had been passed on"
            } else {
                "nothing had been passed on"
            },
        ),
        (_, "deadline") => format!(
            "the deadline passed after {elapsed} ms while the request was at {} ({})",
            last_endpoint(request_lines),
            end.field("trail").trim_end(),
        ),
        (_, "no_route") => format!(
            "no route matches {} in version {} of the configuration",
            end.field("path"),
            end.field("config"),
        ),
        (_, "unknown_key") => format!(
            "refused by {process} with 401, not run: the route isn't public, and the request had no key of an account in \
             version {} of the configuration",
            end.field("config"),
        ),
        (outcome, reason) => format!("{outcome} by {process}: {reason}"),
    }
}

/// The endpoint of the last send attempt.
fn last_endpoint(request_lines: &[LogLine]) -> String {
    let line = request_lines.iter().rev().find(|it| !it.field("endpoint").is_empty());
    line.map_or_else(|| "an endpoint".to_owned(), |it| it.field("endpoint").to_owned())
}

fn no_configuration(end: &LogLine, context_lines: &[LogLine]) -> String {
    let process = &end.process;
    format!(
        "refused by {process}: it knew no configuration yet{}",
        directory_state(end, context_lines)
    )
}

/// The latest limits that endpoints named to the process, in parentheses; empty if the log has none.
fn limits(end: &LogLine, context_lines: &[LogLine]) -> String {
    let named =
        context_lines.iter().filter(|it| it.process == end.process && it.message == LIMITED);
    let latest: BTreeMap<_, _> =
        named.map(|it| (it.field("endpoint"), it.field("per_second"))).collect();
    let limits = latest.iter().map(|(endpoint, limit)| format!("{endpoint}, {limit} per second"));
    let limits: Vec<_> = limits.collect();
    if limits.is_empty() { String::new() } else { format!(" (last: {})", limits.join("; ")) }
}

/// Why a request ended that is quarantined, or has a quarantined prompt part.
fn quarantined(
    outcome: &str,
    end: &LogLine,
    request_lines: &[LogLine],
    context_lines: &[LogLine],
) -> String {
    let process = &end.process;
    let says_why =
        |it: &&LogLine| [HAS_QUARANTINED_PART, IS_QUARANTINED].contains(&it.message.as_str());
    let line = request_lines.iter().rev().find(says_why);
    let field = |name: &str| line.map_or("", |it| it.field(name));
    let is_part = line.is_none_or(|it| it.message == HAS_QUARANTINED_PART);
    let (verdict, name) =
        if is_part { (PART_QUARANTINED, "part_key") } else { (REQUEST_QUARANTINED, "fingerprint") };
    let key = field(name);
    let since = context_lines
        .iter()
        .rev()
        .find(|it| it.message == verdict && it.field(name) == key)
        .map(|it| format!(" since {}", it.time))
        .unwrap_or_default();
    let how = if outcome == "refused" {
        format!("refused at once by {process}, not run")
    } else {
        format!("failed by {process} after {}", end.field("trail").trim_end())
    };
    let what = if is_part {
        format!(
            "part {} of its prompt (key {key}) is quarantined{since}, as engines ended under it",
            field("part")
        )
    } else {
        format!(
            "the same request (fingerprint {key}) is quarantined{since}, as endpoints ended under it"
        )
    };
    format!("{how}: {what}; tried again in {} ms", field("for_ms"))
}

/// The latest pauses that endpoints asked the process for, in parentheses; empty if the log has none.
fn pauses(end: &LogLine, context_lines: &[LogLine]) -> String {
    let paused =
        context_lines.iter().filter(|it| it.process == end.process && it.message == PAUSED);
    let pauses: Vec<_> =
        paused.map(|it| format!("{}, {} ms", it.field("endpoint"), it.field("pause_ms"))).collect();
    if pauses.is_empty() { String::new() } else { format!(" (last: {})", pauses.join("; ")) }
}

/// Text on the endpoints that announced to the process that they are leaving; empty if the log has none.
fn leaving_endpoints(end: &LogLine, context_lines: &[LogLine]) -> String {
    let leaving =
        context_lines.iter().filter(|it| it.process == end.process && it.message == LEAVING);
    let names: Vec<_> = leaving.map(|it| it.field("endpoint")).collect();
    if names.is_empty() {
        String::new()
    } else {
        format!("; {} had announced to leave", names.join(", "))
    }
}

/// Text on the directory, if the process could not reach it when the request ended; empty otherwise.
fn directory_state(end: &LogLine, context_lines: &[LogLine]) -> String {
    let last = context_lines.iter().rev().find(|it| {
        it.process == end.process && it.message.starts_with("directory ") && it.time <= end.time
    });
    match last {
        Some(it) if it.message.starts_with("directory lost") => {
            format!("; the directory had not answered it since {} ({})", it.time, it.field("error"))
        }
        _ => String::new(),
    }
}

/// The number in the Debug text of an `Option`, such as `Some(250)`.
fn option_value(text: &str) -> &str {
    text.trim_start_matches("Some(").trim_end_matches(')')
}
