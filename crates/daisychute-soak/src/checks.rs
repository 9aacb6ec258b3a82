//! Checks the recorded requests against the guarantees to clients.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use daisychute_platform_standin::{Answer, Paths};
use tokio::time::Instant;

/// A request with its response, as its client recorded it.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    /// Address of the front that it was sent to, which changes when the front restarts.
    pub(crate) front: SocketAddr,
    /// `None` if the connection ended before a response head.
    pub(crate) response: Option<Answer>,
    /// When the client began to send the request.
    pub(crate) sent_at: Instant,
    /// When the response or the connection ended, or the client stopped waiting.
    pub(crate) ended_at: Instant,
}

/// The description of a broken guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Violation(String);

impl Violation {
    pub(crate) const fn new(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A response may end this much after the client timeout. Requests near an unplanned fault, such as a
/// paused front, are exempt.
const TIMEOUT_GRACE: Duration = Duration::from_millis(1_500);
/// A client that sends a request while the front closes the connection sees the close within this time, the margin that
/// the platform's rules allow.
const CLOSE_RACE_MARGIN: Duration = Duration::from_millis(200);

/// The client timeout that the requests of a path carry.
fn client_timeout(path: &str) -> Duration {
    Duration::from_millis(if path == Paths::PATIENT { 10_000 } else { 2_500 })
}

/// The guarantees that were broken for one request.
///
/// `runs` is how many times workers ran it. `undisturbed` is true if no unplanned fault was near it in time.
pub(crate) fn check(record: &RequestRecord, runs: u32, undisturbed: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report =
        |text: String| violations.push(Violation(format!("{} {}: {text}", record.path, record.id)));
    let non_repeatable = [Paths::COUNT, Paths::TAG, Paths::PATIENT].contains(&record.path);
    if non_repeatable && runs > 1 {
        report(format!("ran {runs} times"));
    }
    let elapsed = record.ended_at.duration_since(record.sent_at);
    let Some(response) = &record.response else {
        // The client must repeat a request that it sent while the front closed the connection and that no worker ran.
        let raced_close = runs == 0 && elapsed < CLOSE_RACE_MARGIN;
        if undisturbed && !raced_close {
            report(format!("connection ended without a response after {elapsed:?}"));
        }
        return violations;
    };
    match response.status {
        200 => check_success(record, response, undisturbed, &mut report),
        503 | 429 if non_repeatable && runs > 0 => {
            report(format!("refused with {} although it ran", response.status))
        }
        502 | 503 | 504 | 500 => {}
        status => report(format!("unexpected status {status}")),
    }
    if undisturbed && elapsed > client_timeout(record.path) + TIMEOUT_GRACE {
        report(format!("response ended only after {elapsed:?}"));
    }
    violations
}

fn check_success(
    record: &RequestRecord,
    response: &Answer,
    undisturbed: bool,
    report: &mut impl FnMut(String),
) {
    if response.header("x-server-seal").is_none() {
        report("success without signature".to_owned());
    }
    if record.path == Paths::COUNT || record.path == Paths::PANEL {
        if response.whole && !response.body.contains(&record.id) {
            report(format!("response of another request: {}", response.body));
        }
        return;
    }
    let id = &record.id;
    let expected: String = (1..=8).map(|it| format!("id: {it}\ndata: {id}-{it}\n\n")).collect();
    if response.whole && response.body != expected {
        report(format!("complete stream with unexpected events: {:?}", response.body));
    }
    if !expected.starts_with(&response.body) {
        report(format!("stream with a gap or a repetition: {:?}", response.body));
    }
    if undisturbed && !response.whole {
        report("stream truncated without an unplanned fault nearby".to_owned());
    }
}
