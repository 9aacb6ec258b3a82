//! What the selector knows about one endpoint.

use std::time::Duration;

use daisychute_core::{LoadReport, Role, Time};

use super::cached_blocks::CachedBlocks;
use super::candidate::Candidate;
use super::health::Health;
use super::recent_sends::RecentSends;
use super::selection_query::SelectionQuery;

/// An endpoint, its last load report and what this entry observed about it.
#[derive(Debug, Clone)]
pub(super) struct EndpointEntry {
    pub(super) candidate: Candidate,
    /// Hash of the endpoint's name, for the rendezvous hash.
    pub(super) name_hash: u64,
    /// The latest load report; the default before any arrived.
    pub(super) report: LoadReport,
    /// The time that `report` describes; zero before any arrived.
    pub(super) reported_at: Time,
    pub(super) recent_sends: RecentSends,
    pub(super) cached_blocks: CachedBlocks,
    pub(super) health: Health,
}

/// The part of a request that is placed on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Prefill and decode on one engine, or a call to a plain service.
    Whole,
    /// Prefill only; another engine decodes.
    Prefill,
    /// Decode only, from a transferred KV cache.
    Decode,
}

impl EndpointEntry {
    /// Prefill time of one uncached prompt token if no report gives it.
    const DEFAULT_PROMPT_TOKEN: Duration = Duration::from_micros(150);

    /// Prefill time of one uncached prompt token.
    pub(super) fn prompt_token(&self) -> Duration {
        let reported = self.report.prompt_token;
        if reported.is_zero() { Self::DEFAULT_PROMPT_TOKEN } else { reported }
    }

    /// Whether the endpoint is live, can run this stage of the request and isn't excluded.
    pub(super) fn serves(&self, query: &SelectionQuery<'_>, stage: Stage) -> bool {
        let candidate = &self.candidate;
        let role_matches = match stage {
            Stage::Whole => candidate.role == Role::Mixed,
            Stage::Prefill => candidate.role == Role::Prefill,
            Stage::Decode => candidate.role != Role::Prefill,
        };
        role_matches
            && candidate.live
            && candidate.service.as_ref() == query.service
            && (query.service.is_some() || candidate.model.as_ref() == query.model)
            && candidate.adapter.as_ref() == query.adapter
            && !query.exclude.contains(&candidate.endpoint)
    }
}
