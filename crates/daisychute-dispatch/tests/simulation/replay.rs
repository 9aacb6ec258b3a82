//! Replay of two kinds of prompts whose rates swap, on a fleet whose engines are slow in turn.

use std::time::Duration;

use daisychute_core::{Role, Time};
use daisychute_dispatch::{DispatchSettings, Endpoint};

use crate::common::{self, LONG, SHORT};
use crate::simulation::{Outcome, Simulation, long_prompt, short_prompt};

/// Time after which the rates of long and short prompts swap.
const SWAP_MS: u64 = 2_800;
/// Time after which another quarter of the engines is slow.
const SLOW_TURN: Duration = Duration::from_millis(2_000);
const LONG_OBJECTIVE: Duration = Duration::from_millis(600);
const SHORT_OBJECTIVE: Duration = Duration::from_millis(250);
/// Number of distinct shared prefixes of the long prompts.
const PREFIXES: u64 = 125;

/// Fronts, engines and rates of a replay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deployment {
    pub(crate) fronts: usize,
    pub(crate) prefill_engines: usize,
    pub(crate) decode_engines: usize,
    /// Whether every fourth front gets more than half of the requests; otherwise all get as many.
    pub(crate) uneven: bool,
    /// Long prompts per second, in turn.
    pub(crate) long: [f64; 2],
    /// Short prompts per second, in turn.
    pub(crate) short: [f64; 2],
}

pub(crate) const SMALL: Deployment = Deployment {
    fronts: 32,
    prefill_engines: 18,
    decode_engines: 40,
    uneven: false,
    long: [310.0, 155.0],
    short: [180.0, 360.0],
};

pub(crate) const LARGE: Deployment = Deployment {
    fronts: 103,
    prefill_engines: 45,
    decode_engines: 99,
    uneven: false,
    long: [770.0, 385.0],
    short: [450.0, 900.0],
};

/// Results of a replay.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Figures {
    /// Shares of the long and the short prompts whose first output was on time.
    pub(crate) long: f64,
    pub(crate) short: f64,
    /// Share of all requests that was on time.
    pub(crate) all: f64,
    /// Share of all requests that was refused.
    pub(crate) refused: f64,
    /// Ratio of the largest to the mean backlog, of prefill and of decode engines.
    pub(crate) ratio: [f64; 2],
    /// Share of the engines that are idle while prompts wait.
    pub(crate) idle: [f64; 2],
    /// Shared tokens that were prefilled beyond the first time, in thousands.
    pub(crate) again: u64,
}

fn fleet(deployment: &Deployment) -> Vec<Endpoint> {
    let (prefill, decode) = (deployment.prefill_engines, deployment.decode_engines);
    let stage = |it| Some(if it < prefill { Role::Prefill } else { Role::Decode });
    (0..prefill + decode).map(|it| common::endpoint(it, "lm", stage(it))).collect()
}

/// Creates the replay, with all requests of the given seconds.
pub(crate) fn replay(
    deployment: &Deployment,
    heartbeat_age: Duration,
    settings: DispatchSettings,
    seconds: u64,
) -> Simulation {
    let mut sim = Simulation::with_fleet(deployment.fronts, true, fleet(deployment), settings);
    sim.heartbeat_age = heartbeat_age;
    sim.slow_in_turn = Some(SLOW_TURN);
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut random = move || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    for (path, rates) in [(LONG, deployment.long), (SHORT, deployment.short)] {
        let mut at = 0.0;
        let mut number = 0;
        while at < seconds as f64 * 1e6 {
            let turn = at as u64 / (SWAP_MS * 1_000);
            let rate = rates[turn as usize % 2];
            let uniform = (random() >> 11) as f64 / (1_u64 << 53) as f64;
            at -= uniform.max(1e-12).ln() * 1e6 / rate;
            number += 1;
            let prompt = if path == LONG {
                long_prompt(random() % PREFIXES, number)
            } else {
                short_prompt(number)
            };
            let mut front = (random() % deployment.fronts as u64) as usize;
            if deployment.uneven && random() % 2 == 0 {
                front -= front % 4;
            }
            sim.arrival(Time::from_micros(at as u64), front, path, Some(prompt));
        }
    }
    sim
}

pub(crate) fn figures(sim: &Simulation) -> Figures {
    let (long, short) = (sim.on_time(LONG, LONG_OBJECTIVE), sim.on_time(SHORT, SHORT_OBJECTIVE));
    let count = |path| sim.requests.iter().filter(|it| it.2.path.starts_with(path)).count() as f64;
    let all = (long * count(LONG) + short * count(SHORT)) / sim.requests.len() as f64;
    let refused = sim.outcomes.values().filter(|it| matches!(it, Outcome::Refused { .. })).count();
    Figures {
        long,
        short,
        all,
        refused: refused as f64 / sim.requests.len() as f64,
        ratio: sim.evenness.map(|it| it.ratio()),
        idle: sim.evenness.map(|it| it.idle()),
        again: sim.shared_prefilled().saturating_sub(PREFIXES * 13_300) / 1_000,
    }
}
