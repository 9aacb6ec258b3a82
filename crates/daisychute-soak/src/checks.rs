//! What must hold, from what clients and workers saw.

use std::fmt;
use std::time::Duration;

use daisychute_platform_standin::{Answer, Paths};
use tokio::time::Instant;

/// One request as its client saw it.
#[derive(Debug, Clone)]
pub(crate) struct Seen {
    pub(crate) id: String,
    pub(crate) path: &'static str,
    /// None where the connection ended without a head.
    pub(crate) answer: Option<Answer>,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
}

/// A promise that was broken.
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

/// A final answer may be so late after the client's patience of 2.5 s, the time that a front was paused aside.
const LATE: Duration = Duration::from_millis(1_500);
/// A request that was sent as its connection was being closed is told so within this time, the slack that the
/// platform's rules leave for it.
const CROSSING: Duration = Duration::from_millis(200);
/// How long a client waits, as its requests say.
const PATIENCE: Duration = Duration::from_millis(2_500);

/// The promises that one request shows as broken. `runs` is how often workers ran it; `calm` tells that no unplanned
/// fault was near it.
pub(crate) fn check(seen: &Seen, runs: u32, calm: bool) -> Vec<Violation> {
    let mut broken = Vec::new();
    let mut say =
        |text: String| broken.push(Violation(format!("{} {}: {text}", seen.path, seen.id)));
    let once = seen.path == Paths::COUNT || seen.path == Paths::TAG;
    if once && runs > 1 {
        say(format!("ran {runs} times"));
    }
    let took = seen.ended.duration_since(seen.sent);
    let Some(answer) = &seen.answer else {
        // A request that crosses the close of its connection and isn't passed on is its client's to repeat.
        let crossed = runs == 0 && took < CROSSING;
        if calm && !crossed {
            say(format!("connection ended without an answer after {took:?}"));
        }
        return broken;
    };
    match answer.status {
        200 => check_success(seen, answer, calm, &mut say),
        503 | 429 if once && runs > 0 => say(format!("refused with {} and has run", answer.status)),
        502 | 503 | 504 | 500 => {}
        status => say(format!("unexpected status {status}")),
    }
    if calm && took > PATIENCE + LATE {
        say(format!("answered only after {took:?}"));
    }
    broken
}

fn check_success(seen: &Seen, answer: &Answer, calm: bool, say: &mut impl FnMut(String)) {
    if answer.header("x-server-seal").is_none() {
        say("success without signature".to_owned());
    }
    if seen.path == Paths::COUNT || seen.path == Paths::PANEL {
        if answer.whole && !answer.body.contains(&seen.id) {
            say(format!("answer of another request: {}", answer.body));
        }
        return;
    }
    let id = &seen.id;
    let expected: String = (1..=8).map(|it| format!("id: {it}\ndata: {id}-{it}\n\n")).collect();
    if answer.whole && answer.body != expected {
        say(format!("whole stream that isn't whole: {:?}", answer.body));
    }
    if !expected.starts_with(&answer.body) {
        say(format!("stream with a gap or a repetition: {:?}", answer.body));
    }
    if calm && !answer.whole {
        say("stream was cut in calm times".to_owned());
    }
}
