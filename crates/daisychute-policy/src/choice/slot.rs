//! An endpoint as an entry knows it.

use std::time::Duration;

use daisychute_core::{LoadReport, Role, Time};

use super::candidate::Candidate;
use super::health::Health;
use super::hits::Hits;
use super::selection_query::SelectionQuery;
use super::sends::Sends;

/// An endpoint and what the entry knows of it.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) candidate: Candidate,
    pub(super) hash: u64,
    pub(super) report: LoadReport,
    pub(super) as_of: Time,
    pub(super) sends: Sends,
    pub(super) hits: Hits,
    pub(super) health: Health,
}

/// The role in which a request meets an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    Whole,
    Prefill,
    Decode,
}

impl Slot {
    /// The time for one uncached prompt token before any report came.
    const DEFAULT_PROMPT_TOKEN: Duration = Duration::from_micros(150);

    pub(super) fn prompt_token(&self) -> Duration {
        let reported = self.report.prompt_token;
        if reported.is_zero() { Self::DEFAULT_PROMPT_TOKEN } else { reported }
    }

    pub(super) fn serves(&self, query: &SelectionQuery<'_>, part: Part) -> bool {
        let candidate = &self.candidate;
        let role = match part {
            Part::Whole => candidate.role == Role::Mixed,
            Part::Prefill => candidate.role == Role::Prefill,
            Part::Decode => candidate.role != Role::Prefill,
        };
        role && candidate.live
            && candidate.service.as_ref() == query.service
            && (query.service.is_some() || candidate.model.as_ref() == query.model)
            && candidate.adapter.as_ref() == query.adapter
            && !query.exclude.contains(&candidate.endpoint)
    }
}
