//! One request on its way through a replay.

use std::time::Duration;

use daisychute_core::{Class, EndpointName, Time};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Answered(Time),
    Refused(Time),
}

/// One request on its way.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    pub(super) entry: usize,
    pub(super) excluded: Vec<EndpointName>,
    pub(super) attempts: u32,
    /// The endpoint that has it.
    pub(super) at: Option<usize>,
    pub(super) first: Option<Time>,
    last: Time,
    /// Tokens that the caller has.
    pub(super) emitted: u32,
    gaps: u32,
    long_gaps: u32,
    pub(super) end: Option<End>,
}

impl Flight {
    /// The part of the gaps that may be longer than the target.
    const LONG_GAPS: f64 = 0.05;

    pub(super) fn new(entry: usize) -> Self {
        Self {
            entry,
            excluded: Vec::new(),
            attempts: 0,
            at: None,
            first: None,
            last: Time::ZERO,
            emitted: 0,
            gaps: 0,
            long_gaps: 0,
            end: None,
        }
    }

    /// The caller gets a token. Gives the gap since the last one.
    pub(super) fn token(&mut self, now: Time, target: Option<Duration>) -> Option<Duration> {
        self.emitted += 1;
        let gap = self.first.is_some().then(|| now.since(self.last));
        self.first = self.first.or(Some(now));
        self.last = now;
        if let Some(gap) = gap {
            self.gaps += 1;
            self.long_gaps += u32::from(target.is_some_and(|it| gap > it));
        }
        gap
    }

    /// Whether it was answered within the targets of its class. Of the gaps between
    /// tokens, 95 of 100 and their mean have to keep the target.
    pub(super) fn is_good(&self, arrived: Time, class: &Class) -> bool {
        let Some(End::Answered(end)) = self.end else { return false };
        let targets = &class.targets;
        let first = self.first.unwrap_or(end).since(arrived);
        let first_ok = targets.first_token.is_none_or(|it| first <= it);
        let allowed = (f64::from(self.gaps) * Self::LONG_GAPS).ceil();
        let gaps_ok = f64::from(self.long_gaps) <= allowed;
        let streamed = end.since(self.first.unwrap_or(end));
        let mean_ok = targets.between_tokens.is_none_or(|it| streamed <= it * self.gaps);
        first_ok && gaps_ok && mean_ok && end.since(arrived) <= class.deadline()
    }
}
