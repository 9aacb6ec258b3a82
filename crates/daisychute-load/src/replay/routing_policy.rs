//! Endpoint selection policies: a trait for the policy crate's selector and for the baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, LoadReport, Role, Time};
use daisychute_policy::{Candidate, NoEndpoint, Selection, SelectionQuery, Selector};
use rand_pcg::Pcg64Mcg;

/// Selects endpoints for one entry. Its methods are those of [`Selector`].
pub(super) trait RoutingPolicy {
    fn upsert(&mut self, now: Time, candidate: Candidate);
    fn remove(&mut self, endpoint: &EndpointName);
    fn update_load(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport);
    fn probes(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName>;
    fn select(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint>;
    fn select_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint>;
    fn observe_cache_hit(&mut self, endpoint: &EndpointName, blocks: &[u64], cached_tokens: u32);
    fn add_cached_blocks(&mut self, endpoint: &EndpointName, blocks: &[u64]);
}

impl RoutingPolicy for Selector {
    fn upsert(&mut self, now: Time, candidate: Candidate) {
        Self::upsert(self, now, candidate);
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        Self::remove(self, endpoint);
    }

    fn update_load(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport) {
        Self::update_load(self, now, endpoint, report);
    }

    fn probes(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName> {
        Self::probes(self, now, query, rng)
    }

    fn select(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        Self::select(self, now, query, rng)
    }

    fn select_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        Self::select_decode(self, now, query, data_centre, rng)
    }

    fn observe_cache_hit(&mut self, endpoint: &EndpointName, blocks: &[u64], cached_tokens: u32) {
        Self::observe_cache_hit(self, endpoint, blocks, cached_tokens);
    }

    fn add_cached_blocks(&mut self, endpoint: &EndpointName, blocks: &[u64]) {
        self.add_cached_blocks(endpoint, blocks);
    }
}

/// Selects endpoints in round-robin order, whatever their load.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundRobin {
    candidates: BTreeMap<EndpointName, Candidate>,
    selections: usize,
}

impl RoundRobin {
    fn next(&mut self, is_eligible: impl Fn(&Candidate) -> bool) -> Result<&Candidate, NoEndpoint> {
        let eligible: Vec<&Candidate> =
            self.candidates.values().filter(|it| it.live && is_eligible(it)).collect();
        self.selections += 1;
        let index = self.selections.checked_rem(eligible.len()).ok_or(NoEndpoint)?;
        Ok(eligible[index])
    }
}

impl RoutingPolicy for RoundRobin {
    fn upsert(&mut self, _now: Time, candidate: Candidate) {
        self.candidates.insert(candidate.endpoint.clone(), candidate);
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        self.candidates.remove(endpoint);
    }

    fn update_load(&mut self, _now: Time, _endpoint: &EndpointName, _report: LoadReport) {}

    fn probes(
        &mut self,
        _now: Time,
        _query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName> {
        Vec::new()
    }

    fn select(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        self.next(|it| can_start(it, query)).map(selection_of)
    }

    fn select_decode(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        _rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        let is_near = |it: &Candidate| it.data_centre == *data_centre && can_decode(it, query);
        if let Ok(near) = self.next(is_near) {
            return Ok(near.endpoint.clone());
        }
        self.next(|it| can_decode(it, query)).map(|it| it.endpoint.clone())
    }

    fn observe_cache_hit(
        &mut self,
        _endpoint: &EndpointName,
        _blocks: &[u64],
        _cached_tokens: u32,
    ) {
    }

    fn add_cached_blocks(&mut self, _endpoint: &EndpointName, _blocks: &[u64]) {}
}

/// Selects the endpoint with the least reported load; among equals the one that was selected longest ago.
#[derive(Debug, Clone, Default)]
pub(super) struct LeastReported {
    // Last load report of each endpoint, and the number of its last selection.
    candidates: BTreeMap<EndpointName, (Candidate, LoadReport, u64)>,
    selections: u64,
}

impl LeastReported {
    fn least_loaded(
        &mut self,
        is_eligible: impl Fn(&Candidate) -> bool,
    ) -> Result<&Candidate, NoEndpoint> {
        let eligible = self.candidates.values_mut().filter(|it| it.0.live && is_eligible(&it.0));
        let least = eligible.min_by_key(|(_, report, last_selected)| {
            (
                report.wait,
                report.queued + report.running,
                report.queued_prompt_tokens,
                *last_selected,
            )
        });
        let (candidate, _, last_selected) = least.ok_or(NoEndpoint)?;
        self.selections += 1;
        *last_selected = self.selections;
        Ok(candidate)
    }
}

impl RoutingPolicy for LeastReported {
    fn upsert(&mut self, _now: Time, candidate: Candidate) {
        let previous = self.candidates.remove(&candidate.endpoint);
        let (report, last_selected) = previous.map(|it| (it.1, it.2)).unwrap_or_default();
        self.candidates.insert(candidate.endpoint.clone(), (candidate, report, last_selected));
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        self.candidates.remove(endpoint);
    }

    fn update_load(&mut self, _now: Time, endpoint: &EndpointName, report: LoadReport) {
        if let Some(it) = self.candidates.get_mut(endpoint) {
            it.1 = report;
        }
    }

    fn probes(
        &mut self,
        _now: Time,
        _query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName> {
        Vec::new()
    }

    fn select(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        self.least_loaded(|it| can_start(it, query)).map(selection_of)
    }

    fn select_decode(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        _rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        let is_near = |it: &Candidate| it.data_centre == *data_centre && can_decode(it, query);
        if let Ok(near) = self.least_loaded(is_near) {
            return Ok(near.endpoint.clone());
        }
        self.least_loaded(|it| can_decode(it, query)).map(|it| it.endpoint.clone())
    }

    fn observe_cache_hit(
        &mut self,
        _endpoint: &EndpointName,
        _blocks: &[u64],
        _cached_tokens: u32,
    ) {
    }

    fn add_cached_blocks(&mut self, _endpoint: &EndpointName, _blocks: &[u64]) {}
}

fn matches_query(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.service.as_ref() == query.service
        && (query.service.is_some() || candidate.model.as_ref() == query.model)
        && !query.exclude.contains(&candidate.endpoint)
}

/// Whether the endpoint can take a call, a prefill or a whole completion.
fn can_start(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.role != Role::Decode && matches_query(candidate, query)
}

fn can_decode(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.role != Role::Prefill && matches_query(candidate, query)
}

fn selection_of(candidate: &Candidate) -> Selection {
    Selection {
        endpoint: candidate.endpoint.clone(),
        data_centre: candidate.data_centre.clone(),
        disaggregated: candidate.role == Role::Prefill,
        cached_tokens: 0,
        first_token: Duration::ZERO,
        kv_transfer_wait: Duration::ZERO,
    }
}
