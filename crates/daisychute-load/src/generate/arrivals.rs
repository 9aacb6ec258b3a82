//! Generation of the requests of a trace.

use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;

use super::classes::{ClassProfile, profiles};
use super::draw;
use crate::trace::{Header, Request, Work};

/// Period in which load and mix are constant.
const SLICE_SECONDS: f64 = 0.25;
/// Mean number of requests in one cluster of arrivals.
const MEAN_CLUSTER_SIZE: f64 = 2.0;
/// Period over which the requests of one cluster are spread.
const CLUSTER_SPREAD_SECONDS: f64 = 0.2;
/// Standard deviation of the logarithm of the load around that of the scenario.
const DRIFT_SIGMA: f64 = 0.15;
/// Time constant of the drift.
const DRIFT_SECONDS: f64 = 8.0;
/// Number of shared prefixes for each tenant and class.
const PREFIXES: usize = 6;
/// Standard deviation of the logarithm of prompt and output lengths.
const LENGTH_SIGMA: f64 = 0.5;
/// Share of a mean prompt that is a shared prefix.
const PREFIX_SHARE: f64 = 0.35;
/// `max_tokens` is a multiple of this: clients allow round numbers well above the actual output.
const MAX_TOKENS_STEP: u32 = 256;

pub(super) fn arrivals(header: &Header, mut rng: Pcg64Mcg) -> Vec<Request> {
    let profiles = profiles(header.deployment.name);
    let mut requests = Vec::new();
    let mut drift = 0.0;
    let slices = (header.scenario.seconds() / SLICE_SECONDS) as u32;
    for slice in 0..slices {
        let t = f64::from(slice) * SLICE_SECONDS;
        drift = next_drift(drift, &mut rng);
        for (class, profile) in profiles.iter().enumerate() {
            class_arrivals(header, class, profile, t, drift, &mut rng, &mut requests);
        }
    }
    requests.sort_by_key(|it| (it.at_ms, it.class, it.tenant, it.prompt_tokens, it.output_tokens));
    requests
}

/// Drift of the load after one more slice: an Ornstein-Uhlenbeck process.
fn next_drift(drift: f64, rng: &mut impl Rng) -> f64 {
    let retained = (-SLICE_SECONDS / DRIFT_SECONDS).exp();
    drift * retained + DRIFT_SIGMA * (1.0 - retained * retained).sqrt() * draw::normal(rng)
}

/// Adds the requests of one class in the slice that starts at second `t`.
fn class_arrivals(
    header: &Header,
    class: usize,
    profile: &ClassProfile,
    t: f64,
    drift: f64,
    rng: &mut impl Rng,
    requests: &mut Vec<Request>,
) {
    let intensity = header.scenario.intensity_at(t);
    let base_rate = if profile.calls_per_second > 0.0 {
        profile.calls_per_second
    } else {
        intensity.load * drift.exp() * full_load_rate(header, profile, intensity.mix)
    };
    let hot_rate = intensity.hot * full_load_rate(header, profile, intensity.mix);
    let mut offset = draw::exponential(rng, MEAN_CLUSTER_SIZE / (base_rate + hot_rate).max(1e-9));
    while offset < SLICE_SECONDS {
        let is_hot = rng.random::<f64>() < hot_rate / (base_rate + hot_rate);
        let tenant = if is_hot { 0 } else { draw::zipf(rng, header.tenants.len()) };
        for _ in 0..draw::geometric(rng, MEAN_CLUSTER_SIZE) {
            let at = t + offset + rng.random::<f64>() * CLUSTER_SPREAD_SECONDS;
            requests.push(request(header, class, profile, intensity.mix, at, tenant, rng));
        }
        offset += draw::exponential(rng, MEAN_CLUSTER_SIZE / (base_rate + hot_rate));
    }
}

/// Requests per second of a class at which its work fills its share of all engines; 0 for calls.
fn full_load_rate(header: &Header, profile: &ClassProfile, mix: f64) -> f64 {
    if profile.work_share == 0.0 {
        return 0.0;
    }
    let (prompt, output) = profile.mean_tokens(mix);
    let uncached = prompt * (1.0 - PREFIX_SHARE);
    let work = header.deployment.speed.min_work(uncached as u32, output as u32);
    profile.work_share * header.deployment.engines.len() as f64 * 1e6 / work
}

fn request(
    header: &Header,
    class: usize,
    profile: &ClassProfile,
    mix: f64,
    at: f64,
    tenant: usize,
    rng: &mut impl Rng,
) -> Request {
    let call = Request {
        at_ms: (at * 1e3) as u32,
        class: class as u8,
        tenant: tenant as u8,
        prompt_tokens: 0,
        prefix: 0,
        prefix_tokens: 0,
        output_tokens: 1,
        max_tokens: 1,
    };
    if header.classes[class].work != Work::Completion {
        return call;
    }
    let (prompt, output) = profile.mean_tokens(mix);
    let prefix_index = draw::zipf(rng, PREFIXES);
    let prefix = ((class * header.tenants.len() + tenant) * PREFIXES + prefix_index) as u32;
    let prefix_tokens = prefix_tokens(profile, prefix);
    let own_tokens = draw::token_count(rng, prompt * (1.0 - PREFIX_SHARE), LENGTH_SIGMA);
    let output_tokens = draw::token_count(rng, output, LENGTH_SIGMA);
    let prefix_tokens = prefix_tokens.min((prompt * PREFIX_SHARE) as u32 * 2);
    Request {
        prompt_tokens: prefix_tokens + own_tokens,
        prefix,
        prefix_tokens,
        output_tokens,
        max_tokens: (output_tokens * 3 / 2).next_multiple_of(MAX_TOKENS_STEP),
        ..call
    }
}

/// Length of a prefix in tokens, between 0.5 and 1.5 times the mean. It depends on the prefix only, so that all
/// requests with the prefix agree on it.
fn prefix_tokens(profile: &ClassProfile, prefix: u32) -> u32 {
    let mean = profile.mean_tokens(0.5).0 * PREFIX_SHARE;
    let fraction = f64::from(prefix.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
    (mean * (0.5 + fraction)) as u32
}
