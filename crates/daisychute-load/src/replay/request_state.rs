//! State of one request in a replay.

use std::time::Duration;

use daisychute_core::{Class, EndpointName, Time};

/// How and when a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    Completed(Time),
    Refused(Time),
}

/// State of one request.
#[derive(Debug, Clone)]
pub(super) struct RequestState {
    /// Index of the entry that handles the request.
    pub(super) entry: usize,
    /// Endpoints that refused the request since its last pause.
    pub(super) excluded: Vec<EndpointName>,
    /// Failed attempts so far.
    pub(super) attempts: u32,
    /// Index of the endpoint where the request is queued or runs.
    pub(super) assigned_endpoint: Option<usize>,
    /// Index of the engine that prefilled the prompt last and holds its KV cache.
    pub(super) prefill_endpoint: Option<usize>,
    /// Whether the request is counted in the demand.
    pub(super) counted: bool,
    pub(super) first_token_at: Option<Time>,
    last_token_at: Time,
    /// Tokens that the client has received.
    pub(super) emitted_tokens: u32,
    // Gaps between tokens.
    gaps: u32,
    // Gaps that were longer than the target.
    long_gaps: u32,
    pub(super) end: Option<RequestEnd>,
}

impl RequestState {
    /// Share of the gaps that may be longer than the target.
    const MAX_LONG_GAP_SHARE: f64 = 0.05;

    pub(super) fn new(entry: usize) -> Self {
        Self {
            entry,
            excluded: Vec::new(),
            attempts: 0,
            assigned_endpoint: None,
            prefill_endpoint: None,
            counted: false,
            first_token_at: None,
            last_token_at: Time::ZERO,
            emitted_tokens: 0,
            gaps: 0,
            long_gaps: 0,
            end: None,
        }
    }

    /// Records a token that the client receives. Returns the gap since the last one, `None` for the first.
    pub(super) fn record_token(&mut self, now: Time, target: Option<Duration>) -> Option<Duration> {
        self.emitted_tokens += 1;
        let gap = self.first_token_at.is_some().then(|| now.since(self.last_token_at));
        self.first_token_at = self.first_token_at.or(Some(now));
        self.last_token_at = now;
        if let Some(gap) = gap {
            self.gaps += 1;
            self.long_gaps += u32::from(target.is_some_and(|it| gap > it));
        }
        gap
    }

    /// Whether the request was completed within the targets of its class. For the inter-token latency, 95 % of the
    /// gaps and their mean must meet the target.
    pub(super) fn is_good(&self, arrived_at: Time, class: &Class) -> bool {
        let Some(RequestEnd::Completed(end)) = self.end else { return false };
        let targets = &class.targets;
        let time_to_first_token = self.first_token_at.unwrap_or(end).since(arrived_at);
        let meets_first_token = targets.first_token.is_none_or(|it| time_to_first_token <= it);
        let max_long_gaps = (f64::from(self.gaps) * Self::MAX_LONG_GAP_SHARE).ceil();
        let meets_gaps = f64::from(self.long_gaps) <= max_long_gaps;
        let streaming_time = end.since(self.first_token_at.unwrap_or(end));
        let meets_mean_gap =
            targets.between_tokens.is_none_or(|it| streaming_time <= it * self.gaps);
        meets_first_token
            && meets_gaps
            && meets_mean_gap
            && end.since(arrived_at) <= class.deadline()
    }
}
