//! The choice of an endpoint by the least predicted time to the first output.

use daisychute_core::{DataCentreName, ServiceName, Time};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::Fleet;
use crate::fleet::endpoint::Known;
use crate::fleet::engine_model::{Reader, ServiceModel};
use crate::{EndpointKey, EngineStage, Prompt};

/// What is asked for.
#[derive(Debug)]
pub(crate) struct Query<'a> {
    pub(crate) service: &'a ServiceName,
    /// The stage of the endpoint; none for a plain service.
    pub(crate) stage: Option<EngineStage>,
    /// The prompt that it must read; none where it has none or the KV cache comes with the request.
    pub(crate) prompt: Option<&'a Prompt>,
    /// Endpoints that were tried before.
    pub(crate) tried: &'a [EndpointKey],
    /// Where the caller's front is.
    pub(crate) home: Option<&'a DataCentreName>,
}

/// An endpoint with the time that was predicted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Choice {
    pub(crate) key: EndpointKey,
    /// Predicted time to the first output, in ms.
    pub(crate) ms: f64,
    /// Prompt tokens that it must read.
    pub(crate) unread: u64,
    /// Candidates among which it was chosen.
    pub(crate) among: usize,
}

/// The way there and back between data centres, in ms: a few milliseconds in any region.
const DISTANCE_MS: f64 = 3.0;
/// A failed request costs its caller about this much, in ms: a repeat after an objective missed.
const FAILURE_MS: f64 = 400.0;
/// Endpoints within this much of the best, in ms, are equal: a part's home, then a spread by endpoint decides.
const TIE_MS: f64 = 4.0;

/// The best endpoint for a request, or none where no endpoint takes work.
///
/// Endpoints that are left out for failures come back in where they are more than half of all.
pub(crate) fn choose(
    now: Time,
    fleet: &Fleet,
    model: &ServiceModel,
    query: &Query<'_>,
    seed: u64,
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
            let (ms, unread) = predict(now, model, known, query);
            (rank(known, home, seed), Choice { key: *key, ms, unread, among: all.len() })
        })
        .collect();
    let least = weighed.iter().map(|(_, it)| it.ms).fold(f64::INFINITY, f64::min);
    let equal = weighed.into_iter().filter(|(_, it)| it.ms <= least + TIE_MS);
    equal.max_by_key(|(rank, _)| *rank).map(|(_, choice)| choice)
}

/// Rendezvous rank of an endpoint, after Thaler and Ravishankar: by the shared part where there is one, so that all
/// fronts agree on its home; else by the request, so that equal endpoints share the work.
fn rank(known: &Known, home: u64, seed: u64) -> u64 {
    let by = if home == 0 { seed } else { home };
    xxh3_64(known.endpoint.name.as_str().as_bytes()).wrapping_mul(by | 1).rotate_left(31) ^ by
}

/// Identifies the shared parts of a prompt; 0 where they are too short to matter.
fn home_of(prompt: &Prompt) -> u64 {
    /// Reading so few tokens again takes a few milliseconds.
    const SHORTEST: u32 = 512;
    if prompt.shared_tokens() < SHORTEST {
        return 0;
    }
    prompt.shared().iter().fold(1, |sum: u64, it| sum.wrapping_mul(31).wrapping_add(it.key))
}

fn predict(now: Time, model: &ServiceModel, known: &Known, query: &Query<'_>) -> (f64, u64) {
    let reader = match query.stage {
        Some(EngineStage::Prefill) => Reader::Prefill,
        _ => Reader::Whole,
    };
    let own = query.prompt.map_or(0, |it| u64::from(it.tokens - known.parts.hit(it).min(it.tokens)));
    let queued = known.mine.unread + known.others_unread(now);
    let total = known.mine.requests + known.others(now);
    let slots = known.sample.map_or(known.endpoint.slots, |it| it.sample.slots);
    let away = query.home.is_some() && known.endpoint.data_centre.as_ref() != query.home;
    let mut ms = model.read_ms(reader, queued + own);
    ms += model.slot_wait_ms(total, slots);
    ms += f64::from(total) / f64::from(slots.max(1)) * model.hold_ms() * 0.2;
    ms += if away { DISTANCE_MS } else { 0.0 };
    ms += known.health.failure_share() * FAILURE_MS;
    (ms, own)
}
