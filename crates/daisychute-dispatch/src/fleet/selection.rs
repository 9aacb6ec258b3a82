//! Selection of the endpoint with the lowest predicted time to the first output.

use std::time::Duration;

use daisychute_core::{DataCentreName, ServiceName, SoftwareVersion, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Fleet;
use crate::fleet::availability::Availability;
use crate::fleet::cost_model::{PrefillEngine, PrefillWork, ServiceCostModel};
use crate::fleet::endpoint::TrackedEndpoint;
use crate::fleet::unseen_sends::UnseenSends;
use crate::{EndpointKey, EngineSpec, EngineStage, Prompt, SoftwareVersions};

/// Request for which an endpoint is selected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SelectionQuery<'a> {
    /// Service whose endpoints are considered.
    pub(crate) service: &'a ServiceName,
    /// Configured properties of the engines; `None` for a plain service.
    pub(crate) engine: Option<&'a EngineSpec>,
    /// Stage that the endpoint must run; `None` if any stage fits.
    pub(crate) stage: Option<EngineStage>,
    /// Prompt of a generation; `None` for other requests.
    pub(crate) prompt: Option<&'a Prompt>,
    /// Set if the KV cache of the whole prompt is fetched from an engine: the data centre of that engine, if known.
    pub(crate) source: Option<Option<&'a DataCentreName>>,
    /// Priority of the route; 0 is the most urgent. Mixed engines prefill more urgent prompts first.
    pub(crate) priority: u8,
    /// Software version that the endpoint must have; `None` if any fits.
    pub(crate) version: Option<&'a Option<SoftwareVersion>>,
    /// Software versions of which the endpoint must have one; `None` if any fits.
    pub(crate) recorded: Option<&'a SoftwareVersions>,
    /// Endpoints that the request was sent to before; they are excluded.
    pub(crate) tried: &'a [EndpointKey],
    /// Data centre of this front; `None` if it isn't known.
    pub(crate) local_data_centre: Option<&'a DataCentreName>,
    /// Hash of the request id, for the choice between endpoints of equal cost.
    pub(crate) seed: u64,
    /// Maximum time that heartbeats are assumed to take; `None` if work that they don't report is disregarded.
    pub(crate) max_heartbeat_delay: Option<Duration>,
}

impl SelectionQuery<'_> {
    /// Returns the kind of engine that is selected.
    const fn prefill_engine(&self) -> PrefillEngine {
        match self.stage {
            Some(EngineStage::Prefill) => PrefillEngine::Dedicated,
            _ => PrefillEngine::Combined,
        }
    }

    /// Returns what the other fronts are expected to have sent since their heartbeats; `None` if that is disregarded.
    pub(crate) fn unseen_sends(
        &self,
        now: Time,
        fleet: &Fleet,
        model: &ServiceCostModel,
    ) -> Option<UnseenSends> {
        let max = self.max_heartbeat_delay?;
        UnseenSends::estimate(now, model, self.prefill_engine(), fleet.front_count(), max)
    }
}

/// An endpoint that may take the request, with its predicted cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Candidate {
    /// Endpoint that the prediction is for.
    pub(crate) key: EndpointKey,
    /// Predicted time to the first output, in ms, plus a penalty for recent failures.
    pub(crate) predicted_ms: f64,
    /// Part of `predicted_ms` for which the request waits for other requests, in ms.
    pub(crate) wait_ms: f64,
    /// Part of `wait_ms` that is work ahead of the request; a request usually waits for less than all of it.
    pub(crate) work_ahead_ms: f64,
    /// Part of `predicted_ms` for KV cache transfer and prefill of the prompt, in ms.
    pub(crate) prefill_ms: f64,
    /// Number of other requests at the endpoint.
    pub(crate) requests: u32,
    /// Whether the endpoint has no other prompt to prefill.
    pub(crate) idle: bool,
    /// Cached and uncached tokens of the prompt at this endpoint, after a fetch if there is one.
    pub(crate) prefill_work: PrefillWork,
    /// Endpoint from which it should fetch prompt parts that it lacks; `None` if prefilling them is faster.
    pub(crate) fetch_from: Option<EndpointKey>,
    /// Difference between the largest and the smallest `wait_ms` of the candidates.
    pub(crate) wait_spread_ms: f64,
    /// Number of endpoints that take the request, ejected ones included.
    pub(crate) candidates: usize,
}

/// Cost of an endpoint in another data centre, in ms: a round trip takes a few milliseconds in any region, and the
/// traffic is charged.
const CROSS_DC_ROUND_TRIP_MS: f64 = 6.0;
/// Cost of a failed request to its client, in ms: it is repeated after a missed objective. Weighted by the endpoint's
/// failure share.
const FAILURE_PENALTY_MS: f64 = 400.0;
/// Endpoints within this much of the lowest cost, in ms, count as equal; a rendezvous hash selects one of them.
const TIE_MS: f64 = 4.0;
/// Time to set up a KV cache transfer between engines, in ms.
const TRANSFER_SETUP_MS: f64 = 4.0;
/// Factor by which KV cache transfers between data centres take longer.
const CROSS_DC_TRANSFER_FACTOR: f64 = 2.0;
/// Minimum number of tokens to fetch from another engine; fewer are prefilled faster than fetched.
const MIN_FETCH_TOKENS: u32 = 1_024;
/// Share of an engine's KV cache above which it counts as full.
const FULL_CACHE_SHARE: f64 = 0.85;
/// Cost of a full KV cache, in ms: the engine preempts running requests.
const PREEMPTION_PENALTY_MS: f64 = 300.0;
/// Slowdown by concurrent requests: the share of the mean slot time that is added if all slots are busy.
const SLOT_CONTENTION: f64 = 0.2;

/// Returns the best endpoint for a request, or `None` if no endpoint takes it. `cache_holders` are the endpoints that
/// cache parts of its prompt.
///
/// Ejected endpoints are considered as well if more than half of all are ejected.
pub(crate) fn select(
    now: Time,
    fleet: &Fleet,
    model: &ServiceCostModel,
    query: &SelectionQuery<'_>,
    cache_holders: &[CacheHolder<'_>],
) -> Option<Candidate> {
    let is_eligible = |it: &(EndpointKey, &TrackedEndpoint)| {
        it.1.availability(now) == Availability::Now
            && !query.tried.contains(&it.0)
            && (query.stage.is_none() || it.1.endpoint.stage == query.stage)
            && query.version.is_none_or(|version| it.1.endpoint.software_version == *version)
            && query
                .recorded
                .is_none_or(|versions| versions.contains(&it.1.endpoint.software_version))
    };
    let eligible: Vec<_> = fleet.of_service(query.service).filter(is_eligible).collect();
    let healthy = eligible.iter().filter(|it| !it.1.health.is_ejected(now)).count();
    let ignore_ejections = healthy * 2 < eligible.len();
    let usable =
        |it: &&(EndpointKey, &TrackedEndpoint)| ignore_ejections || !it.1.health.is_ejected(now);
    let prefix = query.prompt.map_or(0, prefix_hash);
    let unseen = query.unseen_sends(now, fleet, model);
    let heartbeat_delay = unseen.map(|it| it.heartbeat_delay);
    let predictions: Vec<_> = eligible
        .iter()
        .filter(usable)
        .map(|(key, tracked)| {
            let endpoint = (*key, *tracked);
            let candidate = predict(now, model, endpoint, query, cache_holders, heartbeat_delay);
            (
                rendezvous_hash(tracked, prefix, query.seed),
                Candidate { candidates: eligible.len(), ..candidate },
            )
        })
        .collect();
    let by_unseen = unseen.and_then(|it| it.choose(&predictions, query.seed, TIE_MS));
    let wait_spread_ms = wait_spread_ms(&predictions);
    let chosen = by_unseen.or_else(|| {
        let costs = predictions.iter().map(|(_, it)| it.predicted_ms);
        let lowest = costs.fold(f64::INFINITY, f64::min);
        let tied = predictions.into_iter().filter(|(_, it)| it.predicted_ms <= lowest + TIE_MS);
        tied.max_by_key(|(hash, _)| *hash).map(|(_, candidate)| candidate)
    });
    chosen.map(|it| Candidate { wait_spread_ms, ..it })
}

/// Returns the difference between the largest and the smallest predicted wait; 0 without candidates.
fn wait_spread_ms(predictions: &[(u64, Candidate)]) -> f64 {
    let waits = predictions.iter().map(|(_, it)| it.wait_ms);
    let range = waits.fold(None, |range, it| match range {
        None => Some((it, it)),
        Some((min, max)) => Some((f64::min(min, it), f64::max(max, it))),
    });
    range.map_or(0.0, |(min, max)| max - min)
}

/// An endpoint that caches a prefix of the prompt, which others can fetch.
pub(crate) struct CacheHolder<'a> {
    key: EndpointKey,
    data_centre: Option<&'a DataCentreName>,
    cached_tokens: u32,
}

/// Returns the endpoints, of any stage, that cache enough of the prompt to be worth a fetch.
pub(crate) fn cache_holders<'a>(
    now: Time,
    fleet: &'a Fleet,
    query: &SelectionQuery<'_>,
) -> Vec<CacheHolder<'a>> {
    let Some(prompt) = query.prompt else { return Vec::new() };
    if prompt.shared_tokens() < MIN_FETCH_TOKENS {
        return Vec::new();
    }
    let holder = |(key, tracked): (EndpointKey, &'a TrackedEndpoint)| {
        let cached_tokens = tracked.prefix_cache.cached_tokens(prompt);
        let data_centre = tracked.endpoint.data_centre.as_ref();
        (cached_tokens >= MIN_FETCH_TOKENS).then_some(CacheHolder {
            key,
            data_centre,
            cached_tokens,
        })
    };
    let healthy = |it: &(EndpointKey, &TrackedEndpoint)| {
        it.1.is_registered(now) && !it.1.notice.is_paused(now) && !it.1.health.is_ejected(now)
    };
    fleet.of_service(query.service).filter(healthy).filter_map(holder).collect()
}

/// Rendezvous hash of an endpoint, after Thaler and Ravishankar. With a shared prefix it depends on that, so that all
/// fronts send the prefix to the same endpoint; else on the request, so that equal endpoints share the load.
fn rendezvous_hash(tracked: &TrackedEndpoint, prefix: u64, seed: u64) -> u64 {
    let input = if prefix == 0 { seed } else { prefix };
    xxh3_64(tracked.endpoint.name.as_str().as_bytes()).wrapping_mul(input | 1).rotate_left(31)
        ^ input
}

/// Returns a hash of the shared prefix of a prompt; 0 if the prefix is too short to matter.
fn prefix_hash(prompt: &Prompt) -> u64 {
    if prompt.shared_tokens() < MIN_FETCH_TOKENS {
        return 0;
    }
    prompt.shared().iter().fold(1, |sum: u64, it| sum.wrapping_mul(31).wrapping_add(it.key))
}

/// Returns the time to transfer the KV cache of `tokens` tokens between engines in two data centres, in ms.
fn transfer_ms(
    query: &SelectionQuery<'_>,
    tokens: u32,
    from: Option<&DataCentreName>,
    to: Option<&DataCentreName>,
) -> f64 {
    let Some(engine) = query.engine else { return 0.0 };
    let local = engine.transfer_time(u64::from(tokens)).as_secs_f64() * 1e3;
    TRANSFER_SETUP_MS + if from == to { local } else { local * CROSS_DC_TRANSFER_FACTOR }
}

/// Returns the tokens that the endpoint must prefill, the endpoint to fetch others from first, and the time for both
/// in ms.
fn prefill_work(
    model: &ServiceCostModel,
    engine: PrefillEngine,
    (key, tracked): (EndpointKey, &TrackedEndpoint),
    query: &SelectionQuery<'_>,
    cache_holders: &[CacheHolder<'_>],
) -> (PrefillWork, Option<EndpointKey>, f64) {
    let Some(prompt) = query.prompt else {
        return (PrefillWork { cached: 0, uncached: 0 }, None, 0.0);
    };
    let to = tracked.endpoint.data_centre.as_ref();
    if let Some(source) = query.source {
        let ms = transfer_ms(query, prompt.tokens, source, to);
        return (PrefillWork { cached: prompt.tokens, uncached: 0 }, None, ms);
    }
    let with_cached =
        |cached: u32| PrefillWork { cached, uncached: prompt.tokens.saturating_sub(cached) };
    let cached_here = tracked.prefix_cache.cached_tokens(prompt);
    let without_fetch = with_cached(cached_here);
    let without_fetch_ms = model.prefill_ms(engine, without_fetch);
    let with_fetch = cache_holders
        .iter()
        .filter(|it| it.key != key && it.cached_tokens >= cached_here + MIN_FETCH_TOKENS)
        .map(|it| {
            let prefill_work = with_cached(it.cached_tokens);
            let transfer = transfer_ms(query, it.cached_tokens - cached_here, it.data_centre, to);
            (prefill_work, it.key, transfer + model.prefill_ms(engine, prefill_work))
        })
        .min_by(|a, b| a.2.total_cmp(&b.2));
    match with_fetch {
        Some((prefill_work, from, ms)) if ms < without_fetch_ms => (prefill_work, Some(from), ms),
        _ => (without_fetch, None, without_fetch_ms),
    }
}

/// Predicts the time to the first output if the request is sent to this endpoint.
pub(crate) fn predict(
    now: Time,
    model: &ServiceCostModel,
    endpoint: (EndpointKey, &TrackedEndpoint),
    query: &SelectionQuery<'_>,
    cache_holders: &[CacheHolder<'_>],
    heartbeat_delay: Option<Duration>,
) -> Candidate {
    let (key, tracked) = endpoint;
    let engine = query.prefill_engine();
    let (prefill_work, fetch_from, prefill_ms) =
        prefill_work(model, engine, endpoint, query, cache_holders);
    let backlog = tracked.backlog(now, model.latency(engine), heartbeat_delay);
    let idle = backlog.is_empty();
    // Dedicated prefill engines process prompts in the order of arrival.
    let prefill_wait = match engine {
        PrefillEngine::Dedicated => backlog.total(),
        PrefillEngine::Combined => backlog.wait_at(query.priority),
    };
    let requests = tracked.in_flight.requests() + tracked.other_requests(now);
    let slots = tracked.sample.map_or(tracked.endpoint.slots, |it| it.sample.slots).max(1);
    let is_remote = query.local_data_centre.is_some()
        && tracked.endpoint.data_centre.as_ref() != query.local_data_centre;
    let mut work_ahead_ms = prefill_wait.as_secs_f64() * 1e3;
    if engine == PrefillEngine::Combined {
        work_ahead_ms += model.slot_wait_ms(requests, slots);
        work_ahead_ms +=
            f64::from(requests) / f64::from(slots) * model.mean_slot_ms() * SLOT_CONTENTION;
    }
    let mut wait_ms = work_ahead_ms;
    if engine == PrefillEngine::Combined {
        wait_ms += memory_pressure_ms(now, tracked, query);
    }
    let is_prefilled_here = query.prompt.is_some() && query.source.is_none();
    let mut predicted_ms = wait_ms + prefill_ms;
    if is_prefilled_here {
        predicted_ms += model.latency(engine).as_secs_f64() * 1e3;
    }
    predicted_ms += if is_remote { CROSS_DC_ROUND_TRIP_MS } else { 0.0 };
    predicted_ms += tracked.health.failure_share() * FAILURE_PENALTY_MS;
    Candidate {
        key,
        predicted_ms,
        wait_ms,
        work_ahead_ms,
        prefill_ms,
        requests,
        idle,
        prefill_work,
        fetch_from,
        wait_spread_ms: 0.0,
        candidates: 0,
    }
}

/// Returns the preemption penalty if the prompt would make the endpoint's KV cache count as full, else 0.
fn memory_pressure_ms(now: Time, tracked: &TrackedEndpoint, query: &SelectionQuery<'_>) -> f64 {
    let (Some(engine), Some(prompt)) = (query.engine, query.prompt) else { return 0.0 };
    let tokens = tracked.in_flight.tokens() + tracked.other_tokens(now) + u64::from(prompt.tokens);
    let full = tokens as f64 > engine.kv_tokens as f64 * FULL_CACHE_SHARE;
    if full { PREEMPTION_PENALTY_MS } else { 0.0 }
}
