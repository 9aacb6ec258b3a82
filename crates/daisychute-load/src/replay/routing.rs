//! Choice of endpoint: ours behind a trait, and the baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, LoadReport, Role, Time};
use daisychute_policy::{Candidate, NoEndpoint, Selection, SelectionQuery, Selector};
use rand_pcg::Pcg64Mcg;

/// Chooses endpoints for one entry.
pub(super) trait Routing {
    fn upsert(&mut self, now: Time, candidate: Candidate);
    fn remove(&mut self, endpoint: &EndpointName);
    fn report(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport);
    fn probes(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName>;
    fn choose(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint>;
    fn choose_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint>;
    fn answered(&mut self, endpoint: &EndpointName, blocks: &[u64], cached_tokens: u32);
    fn stored(&mut self, endpoint: &EndpointName, blocks: &[u64]);
}

impl Routing for Selector {
    fn upsert(&mut self, now: Time, candidate: Candidate) {
        Self::upsert(self, now, candidate);
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        Self::remove(self, endpoint);
    }

    fn report(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport) {
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

    fn choose(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        Self::choose(self, now, query, rng)
    }

    fn choose_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        Self::choose_decode(self, now, query, data_centre, rng)
    }

    fn answered(&mut self, endpoint: &EndpointName, blocks: &[u64], cached_tokens: u32) {
        Self::observe_cache_hit(self, endpoint, blocks, cached_tokens);
    }

    fn stored(&mut self, endpoint: &EndpointName, blocks: &[u64]) {
        self.add_cached_blocks(endpoint, blocks);
    }
}

/// Endpoints in turn.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundRobin {
    table: BTreeMap<EndpointName, Candidate>,
    turn: usize,
}

impl RoundRobin {
    fn next(&mut self, serves: impl Fn(&Candidate) -> bool) -> Result<&Candidate, NoEndpoint> {
        let open: Vec<&Candidate> =
            self.table.values().filter(|it| it.live && serves(it)).collect();
        self.turn += 1;
        let place = self.turn.checked_rem(open.len()).ok_or(NoEndpoint)?;
        Ok(open[place])
    }
}

impl Routing for RoundRobin {
    fn upsert(&mut self, _now: Time, candidate: Candidate) {
        self.table.insert(candidate.endpoint.clone(), candidate);
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        self.table.remove(endpoint);
    }

    fn report(&mut self, _now: Time, _endpoint: &EndpointName, _report: LoadReport) {}

    fn probes(
        &mut self,
        _now: Time,
        _query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Vec<EndpointName> {
        Vec::new()
    }

    fn choose(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        self.next(|it| starts(it, query)).map(chosen)
    }

    fn choose_decode(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        _rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        let is_near = |it: &Candidate| it.data_centre == *data_centre && decodes(it, query);
        if let Ok(near) = self.next(is_near) {
            return Ok(near.endpoint.clone());
        }
        self.next(|it| decodes(it, query)).map(|it| it.endpoint.clone())
    }

    fn answered(&mut self, _endpoint: &EndpointName, _blocks: &[u64], _cached_tokens: u32) {}

    fn stored(&mut self, _endpoint: &EndpointName, _blocks: &[u64]) {}
}

/// The endpoint with the least reported load; among equals the one that was chosen longest ago.
#[derive(Debug, Clone, Default)]
pub(super) struct LeastReported {
    table: BTreeMap<EndpointName, (Candidate, LoadReport, u64)>,
    turn: u64,
}

impl LeastReported {
    fn least(&mut self, serves: impl Fn(&Candidate) -> bool) -> Result<&Candidate, NoEndpoint> {
        let open = self.table.values_mut().filter(|it| it.0.live && serves(&it.0));
        let least = open.min_by_key(|(_, report, turn)| {
            (report.wait, report.queued + report.running, report.queued_prompt_tokens, *turn)
        });
        let (candidate, _, turn) = least.ok_or(NoEndpoint)?;
        self.turn += 1;
        *turn = self.turn;
        Ok(candidate)
    }
}

impl Routing for LeastReported {
    fn upsert(&mut self, _now: Time, candidate: Candidate) {
        let known = self.table.remove(&candidate.endpoint);
        let (report, turn) = known.map(|it| (it.1, it.2)).unwrap_or_default();
        self.table.insert(candidate.endpoint.clone(), (candidate, report, turn));
    }

    fn remove(&mut self, endpoint: &EndpointName) {
        self.table.remove(endpoint);
    }

    fn report(&mut self, _now: Time, endpoint: &EndpointName, report: LoadReport) {
        if let Some(it) = self.table.get_mut(endpoint) {
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

    fn choose(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        _rng: &mut Pcg64Mcg,
    ) -> Result<Selection, NoEndpoint> {
        self.least(|it| starts(it, query)).map(chosen)
    }

    fn choose_decode(
        &mut self,
        _now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        _rng: &mut Pcg64Mcg,
    ) -> Result<EndpointName, NoEndpoint> {
        let is_near = |it: &Candidate| it.data_centre == *data_centre && decodes(it, query);
        if let Ok(near) = self.least(is_near) {
            return Ok(near.endpoint.clone());
        }
        self.least(|it| decodes(it, query)).map(|it| it.endpoint.clone())
    }

    fn answered(&mut self, _endpoint: &EndpointName, _blocks: &[u64], _cached_tokens: u32) {}

    fn stored(&mut self, _endpoint: &EndpointName, _blocks: &[u64]) {}
}

fn is_asked_for(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.service.as_ref() == query.service
        && (query.service.is_some() || candidate.model.as_ref() == query.model)
        && !query.exclude.contains(&candidate.endpoint)
}

fn starts(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.role != Role::Decode && is_asked_for(candidate, query)
}

fn decodes(candidate: &Candidate, query: &SelectionQuery<'_>) -> bool {
    candidate.role != Role::Prefill && is_asked_for(candidate, query)
}

fn chosen(candidate: &Candidate) -> Selection {
    Selection {
        endpoint: candidate.endpoint.clone(),
        data_centre: candidate.data_centre.clone(),
        disaggregated: candidate.role == Role::Prefill,
        cached_tokens: 0,
        first_token: Duration::ZERO,
        kv_transfer_wait: Duration::ZERO,
    }
}
