//! Measures what the news in heartbeats cost a front: queueing, encoding, and what it receives from all others.
//!
//! Run it with `cargo run --release -p daisychute-front --example announcement_cost`. The rates are those of a whole
//! fleet on a bad day; each front announces its share.

use std::hint::black_box;
use std::time::{Duration, Instant};

use daisychute_core::Time;
use daisychute_front::{AnnouncementPolicy, Announcements};
use serde::Serialize;
use serde::de::DeserializeOwned;

const FRONTS: [u32; 3] = [30, 100, 300];
/// Time that is simulated.
const SIMULATED: Duration = Duration::from_secs(20);
/// Interval of heartbeats per peer, and its bounds.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(12);
const MIN_INTERVAL: Duration = Duration::from_millis(40);
const MAX_INTERVAL: Duration = Duration::from_millis(400);

/// One kind of news: how often there is a piece in the whole fleet, and how it is announced.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    per_second: f64,
    repetitions: usize,
    per_heartbeat: usize,
}

/// What one kind of news costs one front.
#[derive(Debug, Default)]
struct Cost {
    heartbeats: u32,
    pieces: usize,
    bytes: usize,
    queueing: Duration,
    encoding: Duration,
    decoding: Duration,
}

fn main() {
    println!(
        "{:<20} {:>6} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "news", "fronts", "pieces", "bytes", "queue", "received", "processor"
    );
    println!(
        "{:<20} {:>6} {:>10} {:>10} {:>10} {:>12} {:>12}",
        "", "", "/heartbeat", "/heartbeat", "us/hb", "kB/s", "% of a core"
    );
    // Shapes as in `docs/INNER-PROTOCOL.md`.
    let (endpoint, key) = ("i-0175ebd2b6", 1_u64 << 60);
    report(kind("cached parts", 143.0, 3, 24), &(endpoint.to_owned(), key, 13_300_u32));
    let (address, service) = ("10.1.64.19:8704".to_owned(), "clerk-lm".to_owned());
    let leaving = (endpoint.to_owned(), address, service, Some(1_u64 << 40));
    report(kind("leaving endpoints", 2.0, 8, 8), &leaving);
    report(kind("origins of streams", 1_100.0, 3, 96), &(key, 4_000_u32));
    let ended = (key, vec![(key, true), (key, false)], 40_u32);
    report(kind("prompt parts", 30.0, 4, 6), &ended);
    // Those of one endpoint are joined in a heartbeat, which makes them shorter.
    let lost = (key, vec![(key, false)], 40_u32, true);
    report(kind("requests", 30.0, 4, 16), &lost);
    let limit = (endpoint.to_owned(), Some(1_u64 << 40), Some(5_400_u64), 40_u32);
    report(kind("limits", 10.0, 6, 12), &limit);
}

const fn kind(
    name: &'static str,
    per_second: f64,
    repetitions: usize,
    per_heartbeat: usize,
) -> Kind {
    Kind { name, per_second, repetitions, per_heartbeat }
}

/// Measures one kind of news, of which `news` is an example, for each number of fronts.
fn report<T: Clone + Serialize + DeserializeOwned>(kind: Kind, news: &T) {
    for fronts in FRONTS {
        print_row(kind, fronts, &measure(kind, fronts, news));
    }
}

fn interval(fronts: u32) -> Duration {
    (INTERVAL_PER_PEER * (fronts - 1)).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

fn measure<T: Clone + Serialize + DeserializeOwned>(kind: Kind, fronts: u32, news: &T) -> Cost {
    let policy = AnnouncementPolicy {
        repetitions: kind.repetitions,
        per_heartbeat: kind.per_heartbeat,
        capacity: 1_024,
        ttl: Duration::from_secs(10),
    };
    let mut queue = Announcements::new(policy);
    let mut cost = Cost::default();
    let (mut now, mut due) = (Time::ZERO, 0.0);
    while now < Time::ZERO + SIMULATED {
        now = now + interval(fronts);
        due += kind.per_second / f64::from(fronts) * interval(fronts).as_secs_f64();
        let started = Instant::now();
        while due >= 1.0 {
            due -= 1.0;
            queue.push(now, news.clone());
        }
        let taken = black_box(queue.take(now));
        cost.queueing += started.elapsed();
        let mut bytes = Vec::with_capacity(512);
        let started = Instant::now();
        ciborium::into_writer(&taken, &mut bytes).expect("news can be encoded");
        cost.encoding += started.elapsed();
        let started = Instant::now();
        let decoded: Vec<T> = ciborium::from_reader(&bytes[..]).expect("news can be decoded");
        cost.decoding += started.elapsed();
        cost.pieces += black_box(decoded).len();
        cost.bytes += bytes.len();
        cost.heartbeats += 1;
    }
    cost
}

fn print_row(kind: Kind, fronts: u32, cost: &Cost) {
    let heartbeats = f64::from(cost.heartbeats);
    let per_second = 1.0 / interval(fronts).as_secs_f64();
    let received = cost.bytes as f64 / heartbeats * per_second * f64::from(fronts - 1) / 1e3;
    let own = (cost.queueing + cost.encoding).as_secs_f64() / heartbeats * per_second;
    let others = cost.decoding.as_secs_f64() / heartbeats * per_second * f64::from(fronts - 1);
    println!(
        "{:<20} {:>6} {:>10.1} {:>10.0} {:>10.2} {:>12.2} {:>12.3}",
        kind.name,
        fronts,
        cost.pieces as f64 / heartbeats,
        cost.bytes as f64 / heartbeats,
        cost.queueing.as_secs_f64() * 1e6 / heartbeats,
        received,
        (own + others) * 100.0,
    );
}
