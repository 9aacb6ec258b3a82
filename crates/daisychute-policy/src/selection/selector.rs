//! The endpoint selector of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{DataCentreName, EndpointName, LoadReport, Role, Time};
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use super::cached_blocks::CachedBlocks;
use super::candidate::Candidate;
use super::endpoint_entry::{EndpointEntry, Stage};
use super::health::Health;
use super::recent_sends::RecentSends;
use super::selection_query::{NoEndpoint, Selection, SelectionQuery};

/// Selects the endpoints for the requests of one entry.
///
/// ```
/// use std::time::Duration;
///
/// use daisychute_core::{DataCentreName, EndpointName, LoadReport, ModelName, Time};
/// use daisychute_policy::{Candidate, Selector, SelectionQuery};
/// use rand::SeedableRng;
/// use rand_pcg::Pcg64Mcg;
///
/// let model = ModelName::try_from("clerk-lm")?;
/// let agdal = DataCentreName::try_from("agdal")?;
/// let mut selector = Selector::new();
/// for name in ["clerk-lm-1", "clerk-lm-2"] {
///     let endpoint = EndpointName::try_from(name)?;
///     selector.upsert(Time::ZERO, Candidate::engine(endpoint, agdal.clone(), model.clone()));
/// }
///
/// let mut rng = Pcg64Mcg::seed_from_u64(7);
/// let query = SelectionQuery::model(&model).prompt(640, &[11, 12, 13]).output_tokens(100);
/// let first = selector.select(Time::from_millis(1), &query, &mut rng)?;
/// selector.update_load(Time::from_millis(1_900), &first.endpoint, LoadReport::default());
/// let again = selector.select(Time::from_millis(2_000), &query, &mut rng)?;
/// assert_eq!(first.endpoint, again.endpoint);
/// assert!(again.cached_tokens > 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug, Clone, Default)]
pub struct Selector {
    pub(super) endpoints: Vec<EndpointEntry>,
    // Index into `endpoints` by name. Invariant: holds exactly the endpoints there.
    indices: BTreeMap<EndpointName, usize>,
}

impl Selector {
    /// Number of candidates from the rendezvous hash.
    const AFFINITY_CANDIDATES: usize = 2;
    /// Number of random candidates.
    const RANDOM_CANDIDATES: usize = 4;
    /// Number of leading blocks that decide the rendezvous hash: prompts that share them get the same candidates.
    const AFFINITY_BLOCKS: usize = 4;
    /// Maximum age of a fresh report. Endpoints with a fresh report aren't probed and are always candidates, up to
    /// [`MAX_FRESH_CANDIDATES`](Self::MAX_FRESH_CANDIDATES).
    const FRESH_REPORT_AGE: Duration = Duration::from_millis(50);
    /// Maximum number of candidates with a fresh report.
    const MAX_FRESH_CANDIDATES: usize = 8;
    /// Maximum share of the endpoints of a model that may be ejected; beyond it, ejections are ignored.
    const MAX_EJECTED_SHARE: f64 = 0.5;

    /// Creates a selector without endpoints.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates an endpoint. A new endpoint starts slowly, unless the selector is new as well (`now` is
    /// [`Time::ZERO`]).
    pub fn upsert(&mut self, now: Time, candidate: Candidate) {
        if let Some(&index) = self.indices.get(&candidate.endpoint) {
            let entry = &mut self.endpoints[index];
            if entry.candidate.model != candidate.model
                || entry.candidate.adapter != candidate.adapter
            {
                entry.cached_blocks.clear();
            }
            entry.candidate = candidate;
            return;
        }
        self.indices.insert(candidate.endpoint.clone(), self.endpoints.len());
        self.endpoints.push(EndpointEntry {
            name_hash: xxh3_64(candidate.endpoint.as_str().as_bytes()),
            report: LoadReport::default(),
            reported_at: Time::ZERO,
            recent_sends: RecentSends::default(),
            cached_blocks: CachedBlocks::default(),
            health: if now == Time::ZERO { Health::warm() } else { Health::new(now) },
            candidate,
        });
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, endpoint: &EndpointName) {
        let Some(index) = self.indices.remove(endpoint) else { return };
        self.endpoints.swap_remove(index);
        if let Some(moved) = self.endpoints.get(index) {
            self.indices.insert(moved.candidate.endpoint.clone(), index);
        }
    }

    /// Stores an endpoint's load report, unless it is older than the last one.
    pub fn update_load(&mut self, now: Time, endpoint: &EndpointName, report: LoadReport) {
        let Some(entry) = self.entry_mut(endpoint) else { return };
        let reported_at = now - report.age;
        if reported_at < entry.reported_at {
            return;
        }
        entry.recent_sends.forget_before(reported_at);
        entry.report = report;
        entry.reported_at = reported_at;
    }

    /// Records that an endpoint has these blocks in its prefix cache, as a cache event, probe or response says.
    pub fn add_cached_blocks(&mut self, endpoint: &EndpointName, blocks: &[u64]) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.cached_blocks.add(blocks);
        }
    }

    /// Records that an endpoint evicted this block from its prefix cache.
    pub fn remove_cached_block(&mut self, endpoint: &EndpointName, block: u64) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.cached_blocks.remove(block);
        }
    }

    /// Records a successful response of an endpoint, which resets its failures.
    pub fn succeeded(&mut self, endpoint: &EndpointName) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.health.record_success();
        }
    }

    /// Records a successful response to a prompt with these leading blocks, of which the endpoint had
    /// `cached_tokens` in its prefix cache. The blocks are added to the cached ones, unless cached blocks were expected
    /// and none were found.
    pub fn observe_cache_hit(
        &mut self,
        endpoint: &EndpointName,
        blocks: &[u64],
        cached_tokens: u32,
    ) {
        let expected_blocks =
            self.indices.get(endpoint).map(|it| self.endpoints[*it].cached_blocks.leading(blocks));
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.health.record_success();
            if cached_tokens > 0 || expected_blocks == Some(0) {
                entry.cached_blocks.add(blocks);
            }
        }
    }

    /// Records that an endpoint failed a request. A refusal because of load doesn't count as a failure.
    pub fn failed(&mut self, now: Time, endpoint: &EndpointName) {
        if let Some(entry) = self.entry_mut(endpoint) {
            entry.health.record_failure(now);
        }
    }

    /// Returns the endpoints to probe before [`select`](Self::select): possible candidates whose load report is stale.
    /// Pass the responses to [`update_load`](Self::update_load) and
    /// [`add_cached_blocks`](Self::add_cached_blocks). A selection that doesn't wait for them is valid but less
    /// accurate.
    pub fn probes(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Vec<EndpointName> {
        let mut candidates = Vec::new();
        for stage in [Stage::Whole, Stage::Prefill] {
            let eligible = self.eligible(now, |entry| entry.serves(query, stage));
            candidates.extend(self.affinity_candidates(query, &eligible));
            candidates.extend(self.random_candidates(&eligible, rng));
        }
        candidates.sort_unstable();
        candidates.dedup();
        candidates.retain(|it| now.since(self.endpoints[*it].reported_at) > Self::FRESH_REPORT_AGE);
        candidates.into_iter().map(|it| self.endpoints[it].candidate.endpoint.clone()).collect()
    }

    /// Selects the endpoint that a request is sent to first, and counts the request as sent to it.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] if no live endpoint serves the model or service.
    pub fn select(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        rng: &mut impl Rng,
    ) -> Result<Selection, NoEndpoint> {
        let whole = self.best_candidate(now, query, Stage::Whole, rng);
        let prefill = self.best_candidate(now, query, Stage::Prefill, rng);
        let (index, estimate, is_disaggregated) = match (whole, prefill) {
            (Some((index, cost)), Some((_, other))) if cost <= other => (index, cost, false),
            (_, Some((index, cost))) => (index, cost, true),
            (Some((index, cost)), None) => (index, cost, false),
            (None, None) => return Err(NoEndpoint),
        };
        let cached_tokens = self.cached_tokens(index, query);
        let kv_transfer_wait = if is_disaggregated {
            self.expected_kv_transfer_wait(query, index)
        } else {
            Duration::ZERO
        };
        let entry = &mut self.endpoints[index];
        entry.recent_sends.add(now, query.prompt_tokens - cached_tokens);
        entry.cached_blocks.add(query.blocks);
        Ok(Selection {
            endpoint: entry.candidate.endpoint.clone(),
            data_centre: entry.candidate.data_centre.clone(),
            disaggregated: is_disaggregated,
            cached_tokens,
            first_token: estimate,
            kv_transfer_wait,
        })
    }

    /// Selects the engine that decodes a request that was prefilled in this data centre, and counts the request as
    /// sent to it. The KV cache stays within the data centre unless the wait there exceeds the extra time of a
    /// transfer to another one.
    ///
    /// # Errors
    ///
    /// Returns [`NoEndpoint`] if no live engine decodes the model.
    pub fn select_decode(
        &mut self,
        now: Time,
        query: &SelectionQuery<'_>,
        data_centre: &DataCentreName,
        rng: &mut impl Rng,
    ) -> Result<EndpointName, NoEndpoint> {
        // Engines of mixed role are used only if no decode engine is live.
        let can_decode = |entry: &EndpointEntry| entry.serves(query, Stage::Decode);
        let mut eligible =
            self.eligible(now, |entry| can_decode(entry) && entry.candidate.role == Role::Decode);
        if eligible.is_empty() {
            eligible = self.eligible(now, can_decode);
        }
        let is_local = |it: &usize| self.endpoints[*it].candidate.data_centre == *data_centre;
        let (local, remote): (Vec<usize>, Vec<usize>) = eligible.into_iter().partition(is_local);
        let mut candidates = self.random_candidates(&local, rng);
        candidates.extend(self.random_candidates(&remote, rng));
        let cost = |it: &usize| self.decode_cost(query, data_centre, &self.endpoints[*it]);
        let index = candidates.into_iter().min_by_key(cost).ok_or(NoEndpoint)?;
        let entry = &mut self.endpoints[index];
        entry.recent_sends.add(now, 0);
        Ok(entry.candidate.endpoint.clone())
    }

    /// Returns the candidate with the lowest estimate for this stage of a request, with the estimate.
    fn best_candidate(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        stage: Stage,
        rng: &mut impl Rng,
    ) -> Option<(usize, Duration)> {
        let eligible = self.eligible(now, |entry| entry.serves(query, stage));
        let mut candidates = self.affinity_candidates(query, &eligible);
        let fresh = eligible
            .iter()
            .copied()
            .filter(|it| now.since(self.endpoints[*it].reported_at) <= Self::FRESH_REPORT_AGE);
        candidates.extend(fresh.take(Self::MAX_FRESH_CANDIDATES));
        if candidates.len() < Self::AFFINITY_CANDIDATES + Self::RANDOM_CANDIDATES {
            candidates.extend(self.random_candidates(&eligible, rng));
        }
        self.lowest_estimate(now, query, stage, &candidates)
    }

    /// Returns the indices of the endpoints that satisfy `serves`. Ejected endpoints are left out, unless they are
    /// more than [`MAX_EJECTED_SHARE`](Self::MAX_EJECTED_SHARE).
    fn eligible(&self, now: Time, serves: impl Fn(&EndpointEntry) -> bool) -> Vec<usize> {
        let serving = || (0..self.endpoints.len()).filter(|it| serves(&self.endpoints[*it]));
        let healthy: Vec<usize> =
            serving().filter(|it| !self.endpoints[*it].health.is_ejected(now)).collect();
        let all = serving().count();
        let ejected = all - healthy.len();
        if ejected as f64 <= Self::MAX_EJECTED_SHARE * all as f64 {
            healthy
        } else {
            serving().collect()
        }
    }

    fn lowest_estimate(
        &self,
        now: Time,
        query: &SelectionQuery<'_>,
        stage: Stage,
        candidates: &[usize],
    ) -> Option<(usize, Duration)> {
        candidates
            .iter()
            .map(|it| (*it, self.estimate(now, query, stage, *it)))
            .min_by_key(|(_, cost)| *cost)
    }

    /// Returns the first endpoints by the rendezvous hash of model, adapter and prompt prefix; none for a prompt
    /// without a complete block.
    fn affinity_candidates(&self, query: &SelectionQuery<'_>, eligible: &[usize]) -> Vec<usize> {
        let depth = query.blocks.len().min(Self::AFFINITY_BLOCKS);
        let Some(key) = depth.checked_sub(1).map(|it| query.blocks[it]) else { return Vec::new() };
        let mut best: Vec<(u64, usize)> = Vec::with_capacity(Self::AFFINITY_CANDIDATES + 1);
        for &index in eligible {
            best.push((splitmix64(key ^ self.endpoints[index].name_hash), index));
            best.sort_unstable_by(|a, b| b.cmp(a));
            best.truncate(Self::AFFINITY_CANDIDATES);
        }
        best.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns all eligible endpoints if they are few, otherwise random ones, drawn with replacement.
    fn random_candidates(&self, eligible: &[usize], rng: &mut impl Rng) -> Vec<usize> {
        if eligible.len() <= Self::RANDOM_CANDIDATES {
            return eligible.to_vec();
        }
        (0..Self::RANDOM_CANDIDATES)
            .map(|_| eligible[rng.random_range(0..eligible.len())])
            .collect()
    }

    fn entry_mut(&mut self, endpoint: &EndpointName) -> Option<&mut EndpointEntry> {
        let index = *self.indices.get(endpoint)?;
        self.endpoints.get_mut(index)
    }
}

/// The finalizer of SplitMix64 (Steele et al., 2014).
fn splitmix64(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
