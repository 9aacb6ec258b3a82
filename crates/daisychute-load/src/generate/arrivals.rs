//! The requests of a trace.

use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;

use super::classes::{Shape, shapes};
use super::draw;
use crate::trace::{Header, Request, Work};

/// The time over which load and mix are taken as constant, in seconds.
const SLICE: f64 = 0.25;
/// Mean requests of one cluster of arrivals.
const CLUSTER: f64 = 2.0;
/// Over which the requests of one cluster are spread, in seconds.
const CLUSTER_SPREAD: f64 = 0.2;
/// Deviation of the logarithm of the load around that of the scenario, and the time it takes to wander, in seconds.
const WANDER: f64 = 0.15;
const WANDER_TIME: f64 = 8.0;
/// Prefixes of each tenant and class.
const PREFIXES: usize = 6;
/// Deviation of the logarithm of prompt and output lengths.
const LENGTH_SIGMA: f64 = 0.5;
/// The part of a mean prompt that is a shared prefix.
const PREFIX_PART: f64 = 0.35;
/// Spans of the allowed output tokens: callers give round numbers well above what comes.
const MAX_TOKENS_STEP: u32 = 256;

pub(super) fn arrivals(header: &Header, mut rng: Pcg64Mcg) -> Vec<Request> {
    let shapes = shapes(header.deployment.name);
    let mut requests = Vec::new();
    let mut wander = 0.0;
    let slices = (header.scenario.seconds() / SLICE) as u32;
    for slice in 0..slices {
        let t = f64::from(slice) * SLICE;
        wander = next_wander(wander, &mut rng);
        for (class, shape) in shapes.iter().enumerate() {
            class_arrivals(header, class, shape, t, wander, &mut rng, &mut requests);
        }
    }
    requests.sort_by_key(|it| (it.at_ms, it.class, it.tenant, it.prompt_tokens, it.output_tokens));
    requests
}

/// An Ornstein-Uhlenbeck process in steps of a slice.
fn next_wander(wander: f64, rng: &mut impl Rng) -> f64 {
    let keep = (-SLICE / WANDER_TIME).exp();
    wander * keep + WANDER * (1.0 - keep * keep).sqrt() * draw::normal(rng)
}

fn class_arrivals(
    header: &Header,
    class: usize,
    shape: &Shape,
    t: f64,
    wander: f64,
    rng: &mut impl Rng,
    requests: &mut Vec<Request>,
) {
    let intensity = header.scenario.at(t);
    let usual = if shape.calls > 0.0 {
        shape.calls
    } else {
        intensity.load * wander.exp() * rate(header, shape, intensity.mix)
    };
    let hot = intensity.hot * rate(header, shape, intensity.mix);
    let mut next = draw::exponential(rng, CLUSTER / (usual + hot).max(1e-9));
    while next < SLICE {
        let is_hot = rng.random::<f64>() < hot / (usual + hot);
        let tenant = if is_hot { 0 } else { draw::zipf(rng, header.tenants.len()) };
        for _ in 0..draw::geometric(rng, CLUSTER) {
            let at = t + next + rng.random::<f64>() * CLUSTER_SPREAD;
            requests.push(request(header, class, shape, intensity.mix, at, tenant, rng));
        }
        next += draw::exponential(rng, CLUSTER / (usual + hot));
    }
}

/// Requests a second of a class that would fill its share of all engines.
fn rate(header: &Header, shape: &Shape, mix: f64) -> f64 {
    if shape.share == 0.0 {
        return 0.0;
    }
    let (prompt, output) = shape.at(mix);
    let uncached = prompt * (1.0 - PREFIX_PART);
    let work = header.deployment.speed.least_work(uncached as u32, output as u32);
    shape.share * header.deployment.engines.len() as f64 * 1e6 / work
}

fn request(
    header: &Header,
    class: usize,
    shape: &Shape,
    mix: f64,
    at: f64,
    tenant: usize,
    rng: &mut impl Rng,
) -> Request {
    let blank = Request {
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
        return blank;
    }
    let (prompt, output) = shape.at(mix);
    let place = draw::zipf(rng, PREFIXES);
    let prefix = ((class * header.tenants.len() + tenant) * PREFIXES + place) as u32;
    let prefix_tokens = prefix_tokens(shape, prefix);
    let own = draw::tokens(rng, prompt * (1.0 - PREFIX_PART), LENGTH_SIGMA);
    let output_tokens = draw::tokens(rng, output, LENGTH_SIGMA);
    let prefix_tokens = prefix_tokens.min((prompt * PREFIX_PART) as u32 * 2);
    Request {
        prompt_tokens: prefix_tokens + own,
        prefix,
        prefix_tokens,
        output_tokens,
        max_tokens: (output_tokens * 3 / 2).next_multiple_of(MAX_TOKENS_STEP),
        ..blank
    }
}

/// The length of a prefix is a property of it: between half and one and a half of the mean.
fn prefix_tokens(shape: &Shape, prefix: u32) -> u32 {
    let mean = shape.at(0.5).0 * PREFIX_PART;
    let part = f64::from(prefix.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
    (mean * (0.5 + part)) as u32
}
