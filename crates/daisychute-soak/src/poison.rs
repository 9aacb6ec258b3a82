//! Checks that a prompt part or a request which ends workers is refused, and that others aren't.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

use daisychute_platform_standin::Worker;
use tokio::time::Instant;

use crate::checks::{RequestRecord, Violation};

/// Which requests end workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PoisonKind {
    /// Those with a part in their prompts.
    Part,
    /// One that comes again.
    Request,
}

impl PoisonKind {
    /// Number of ends after which they have to be refused.
    const fn allowed_ends(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request => 3,
        }
    }
}

/// Number of requests of each kind without which the check says nothing.
const MIN_CASES: usize = 10;
/// Time from the last of them in which fronts may still send it.
const STABLE: Duration = Duration::from_secs(3);
/// Number of such requests that may reach workers later.
const ALLOWED_ARRIVALS: usize = 3;

/// What came of the requests that end workers, and of those beside them.
#[derive(Debug, Default)]
pub(crate) struct Poisoned {
    ends: usize,
    /// Requests that end workers and were sent after the bound, and how many of them reached workers.
    late: usize,
    arrivals: usize,
    /// Requests beside them that were sent after the bound, and how many of them were served.
    sound: usize,
    served: usize,
    /// What the others were told, with their number.
    refusals: BTreeMap<String, usize>,
}

impl fmt::Display for Poisoned {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { ends, late, arrivals, sound, served, refusals } = self;
        write!(
            f,
            "poison: {ends} ends, {arrivals} of {late} late, {served} of {sound} sound {refusals:?}"
        )
    }
}

/// Checks the requests that end workers, and those beside them. Only those count at whose front nothing else went wrong, by
/// `in_touch`.
pub(crate) fn check_poison(
    workers: &[Worker],
    kind: PoisonKind,
    ends: &[Instant],
    poisoned: &[RequestRecord],
    sound: &[RequestRecord],
    in_touch: impl Fn(&RequestRecord) -> bool,
) -> (Vec<Violation>, Poisoned) {
    let mut result = Poisoned { ends: ends.len(), ..Poisoned::default() };
    let mut violations = Vec::new();
    let Some(last) = ends.get(kind.allowed_ends() - 1).or(ends.last()) else {
        violations.push(Violation::new("no worker ended under the requests meant to".to_owned()));
        return (violations, result);
    };
    let arrived: HashSet<_> =
        workers.iter().flat_map(|it| it.seen().requests).map(|it| it.id).collect();
    let is_late = |it: &&RequestRecord| it.sent_at > *last + STABLE && in_touch(it);
    for it in poisoned.iter().filter(is_late) {
        result.late += 1;
        result.arrivals += usize::from(arrived.contains(&it.id));
    }
    let is_later = |it: &&RequestRecord| it.sent_at > *last + 2 * STABLE && in_touch(it);
    // What workers ask for, pauses and limits, says nothing about prompts.
    let is_asked_for = |it: &&RequestRecord| {
        let body = it.response.as_ref().map_or("", |it| it.body.as_str());
        body.contains("limited") || body.contains("paused")
    };
    for it in sound.iter().filter(is_later).filter(|it| !is_asked_for(it)) {
        result.sound += 1;
        match &it.response {
            Some(response) if response.status == 200 => result.served += 1,
            Some(response) => *result.refusals.entry(response.body.clone()).or_default() += 1,
            None => {}
        }
    }
    let Poisoned { late, arrivals, sound, served, .. } = result;
    if late < MIN_CASES || sound < MIN_CASES {
        let text = format!(
            "too few cases of requests that end workers: {late} late ones, {sound} sound ones later"
        );
        violations.push(Violation::new(text));
    }
    if arrivals > ALLOWED_ARRIVALS {
        let ends = ends.len();
        let text =
            format!("{arrivals} requests that end workers were sent late; {ends} workers ended");
        violations.push(Violation::new(text));
    }
    if served * 2 < sound {
        let text =
            format!("only {served} of {sound} requests were served beside those that end workers");
        violations.push(Violation::new(text));
    }
    (violations, result)
}
