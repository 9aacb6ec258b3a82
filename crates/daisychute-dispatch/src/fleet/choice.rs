//! The choice of an endpoint by the least predicted time to the first output.

use daisychute_core::{DataCentreName, ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Fleet;
use crate::fleet::endpoint::Known;
use crate::fleet::engine_model::{Reader, Reading, ServiceModel};
use crate::{EndpointKey, EngineSpec, EngineStage, Prompt};

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Query<'a> {
    pub(crate) service: &'a ServiceName,
    /// What the configuration says of the engines; none for a plain service.
    pub(crate) engine: Option<&'a EngineSpec>,
    /// The stage of the endpoint; none for a plain service.
    pub(crate) stage: Option<EngineStage>,
    /// The prompt, where the request has one.
    pub(crate) prompt: Option<&'a Prompt>,
    /// The data centre of the engine from which the KV cache of the whole prompt is fetched.
    pub(crate) source: Option<Option<&'a DataCentreName>>,
    /// Priority of the route; the prompts of more urgent requests are read first.
    pub(crate) priority: u8,
    /// Endpoints that were tried before.
    pub(crate) tried: &'a [EndpointKey],
    /// Where the front is.
    pub(crate) home: Option<&'a DataCentreName>,
    /// Decides between endpoints that are equal.
    pub(crate) seed: u64,
}

/// An endpoint with what was predicted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub(crate) key: EndpointKey,
    /// Predicted time to the first output, in ms.
    pub(crate) ms: f64,
    /// The part of it that the request waits for others, in ms.
    pub(crate) wait_ms: f64,
    /// The part of it for which the endpoint reads the prompt, in ms.
    pub(crate) read_ms: f64,
    /// The endpoint has no other prompt to read.
    pub(crate) alone: bool,
    /// What it must read.
    pub(crate) reading: Reading,
    /// An endpoint from which it should fetch the parts that it lacks.
    pub(crate) fetch_from: Option<EndpointKey>,
    /// Candidates among which it was chosen.
    pub(crate) candidates: usize,
}

/// The way there and back between data centres, in ms: a few milliseconds in any region, and the bytes cost.
const DISTANCE_MS: f64 = 6.0;
/// A failed request costs its caller about this much, in ms: a repeat after an objective missed.
const FAILURE_MS: f64 = 400.0;
/// Endpoints within this much of the best, in ms, are equal: a part's home, then a spread by endpoint decides.
const TIE_MS: f64 = 4.0;
/// Setting a transfer between engines up, in ms.
const TRANSFER_MS: f64 = 4.0;
/// Transfers between data centres take this many times as long.
const REMOTE_TRANSFER: f64 = 2.0;
/// Fewer tokens than this are read again sooner than they are fetched.
const LEAST_FETCH: u32 = 1_024;
/// The share of an engine's memory that may be taken before it counts as full.
const MEMORY_SHARE: f64 = 0.85;
/// An engine whose memory is full preempts what it runs; that costs about this much, in ms.
const FULL_MS: f64 = 300.0;
/// Part of a slot's time that each busy slot slows the others down.
const CROWDING: f64 = 0.2;

/// The best endpoint for a request, or none where no endpoint takes work. `holders` keep parts of its prompt.
///
/// Endpoints that are left out for failures come back in where they are more than half of all.
pub(crate) fn choose(
    now: Time,
    fleet: &Fleet,
    model: &ServiceModel,
    query: &Query<'_>,
    holders: &[Holder<'_>],
) -> Option<Choice> {
    let fits = |it: &(EndpointKey, &Known)| {
        it.1.takes_work(now)
            && !query.tried.contains(&it.0)
            && (query.stage.is_none() || it.1.endpoint.stage == query.stage)
    };
    let all: Vec<_> = fleet.of_service(query.service).filter(fits).collect();
    let sound = all.iter().filter(|it| !it.1.health.is_ejected(now)).count();
    let ignore_ejections = sound * 2 < all.len();
    let usable = |it: &&(EndpointKey, &Known)| ignore_ejections || !it.1.health.is_ejected(now);
    let home = query.prompt.map_or(0, home_of);
    let weighed: Vec<_> = all
        .iter()
        .filter(usable)
        .map(|(key, known)| {
            let choice = predict(now, model, (*key, known), query, holders);
            (rendezvous_hash(known, home, query.seed), Choice { candidates: all.len(), ..choice })
        })
        .collect();
    let least = weighed.iter().map(|(_, it)| it.ms).fold(f64::INFINITY, f64::min);
    let equal = weighed.into_iter().filter(|(_, it)| it.ms <= least + TIE_MS);
    equal.max_by_key(|(hash, _)| *hash).map(|(_, choice)| choice)
}

/// An endpoint that keeps parts of the prompt.
pub(crate) struct Holder<'a> {
    key: EndpointKey,
    data_centre: Option<&'a DataCentreName>,
    hit: u32,
}

/// The endpoints that keep parts of the prompt, whatever their stage.
pub(crate) fn holders<'a>(now: Time, fleet: &'a Fleet, query: &Query<'_>) -> Vec<Holder<'a>> {
    let Some(prompt) = query.prompt else { return Vec::new() };
    if prompt.shared_tokens() < LEAST_FETCH {
        return Vec::new();
    }
    let holder = |(key, known): (EndpointKey, &'a Known)| {
        let hit = known.parts.hit(prompt);
        let data_centre = known.endpoint.data_centre.as_ref();
        (hit >= LEAST_FETCH).then_some(Holder { key, data_centre, hit })
    };
    let sound = |it: &(EndpointKey, &Known)| it.1.is_listed(now) && !it.1.health.is_ejected(now);
    fleet.of_service(query.service).filter(sound).filter_map(holder).collect()
}

/// Rendezvous hash of an endpoint, after Thaler and Ravishankar: by the shared part where there is one, so that all
/// fronts agree on its home; else by the request, so that equal endpoints share the work.
fn rendezvous_hash(known: &Known, home: u64, seed: u64) -> u64 {
    let by = if home == 0 { seed } else { home };
    xxh3_64(known.endpoint.name.as_str().as_bytes()).wrapping_mul(by | 1).rotate_left(31) ^ by
}

/// Identifies the shared parts of a prompt; 0 where they are too short to matter.
fn home_of(prompt: &Prompt) -> u64 {
    if prompt.shared_tokens() < LEAST_FETCH {
        return 0;
    }
    prompt.shared().iter().fold(1, |sum: u64, it| sum.wrapping_mul(31).wrapping_add(it.key))
}

fn transfer_ms(
    query: &Query<'_>,
    tokens: u32,
    from: Option<&DataCentreName>,
    to: Option<&DataCentreName>,
) -> f64 {
    let Some(engine) = query.engine else { return 0.0 };
    let plain = engine.transfer_time(u64::from(tokens)).as_secs_f64() * 1e3;
    TRANSFER_MS + if from == to { plain } else { plain * REMOTE_TRANSFER }
}

/// What the endpoint must read, what it should fetch before, and how long that takes in ms.
fn reading(
    model: &ServiceModel,
    reader: Reader,
    (key, known): (EndpointKey, &Known),
    query: &Query<'_>,
    holders: &[Holder<'_>],
) -> (Reading, Option<EndpointKey>, f64) {
    let Some(prompt) = query.prompt else { return (Reading { kept: 0, unread: 0 }, None, 0.0) };
    let here = known.endpoint.data_centre.as_ref();
    if let Some(source) = query.source {
        let ms = transfer_ms(query, prompt.tokens, source, here);
        return (Reading { kept: prompt.tokens, unread: 0 }, None, ms);
    }
    let after = |kept: u32| Reading { kept, unread: prompt.tokens.saturating_sub(kept) };
    let own = known.parts.hit(prompt);
    let alone = after(own);
    let alone_ms = model.read_ms(reader, alone);
    let fetched = holders
        .iter()
        .filter(|it| it.key != key && it.hit >= own + LEAST_FETCH)
        .map(|it| {
            let reading = after(it.hit);
            let transfer = transfer_ms(query, it.hit - own, it.data_centre, here);
            (reading, it.key, transfer + model.read_ms(reader, reading))
        })
        .min_by(|a, b| a.2.total_cmp(&b.2));
    match fetched {
        Some((reading, from, ms)) if ms < alone_ms => (reading, Some(from), ms),
        _ => (alone, None, alone_ms),
    }
}

fn predict(
    now: Time,
    model: &ServiceModel,
    endpoint: (EndpointKey, &Known),
    query: &Query<'_>,
    holders: &[Holder<'_>],
) -> Choice {
    let (key, known) = endpoint;
    let reader = match query.stage {
        Some(EngineStage::Prefill) => Reader::Prefill,
        _ => Reader::Whole,
    };
    let (reading, fetch_from, read_ms) = reading(model, reader, endpoint, query, holders);
    let backlog = known.backlog(now, model.latency(reader));
    let alone = backlog.is_empty();
    // An engine that only reads keeps to the order in which prompts came.
    let unread_before = match reader {
        Reader::Prefill => backlog.total(),
        Reader::Whole => backlog.before(query.priority),
    };
    let total = known.work.requests() + known.others(now);
    let slots = known.sample.map_or(known.endpoint.slots, |it| it.sample.slots).max(1);
    let away = query.home.is_some() && known.endpoint.data_centre.as_ref() != query.home;
    let mut wait_ms = unread_before.as_secs_f64() * 1e3;
    if reader == Reader::Whole {
        wait_ms += model.slot_wait_ms(total, slots);
        wait_ms += f64::from(total) / f64::from(slots) * model.hold_ms() * CROWDING;
        wait_ms += full_ms(now, known, query);
    }
    let mut ms = wait_ms + read_ms;
    if query.prompt.is_some() && query.source.is_none() {
        ms += model.latency(reader).as_secs_f64() * 1e3;
    }
    ms += if away { DISTANCE_MS } else { 0.0 };
    ms += known.health.failure_share() * FAILURE_MS;
    Choice { key, ms, wait_ms, read_ms, alone, reading, fetch_from, candidates: 0 }
}

fn full_ms(now: Time, known: &Known, query: &Query<'_>) -> f64 {
    let (Some(engine), Some(prompt)) = (query.engine, query.prompt) else { return 0.0 };
    let tokens = known.work.tokens() + known.others_tokens(now) + u64::from(prompt.tokens);
    let full = tokens as f64 > engine.kv_tokens as f64 * MEMORY_SHARE;
    if full { FULL_MS } else { 0.0 }
}
