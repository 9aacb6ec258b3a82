//! Replays of a fleet whose fronts know the load of the engines only from heartbeats that are some time old.

mod common;
mod simulation;

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::DispatchSettings;

use crate::simulation::Simulation;
use crate::simulation::replay::{Deployment, Figures, SMALL, figures, replay};

/// Time that a replay covers, in s: three swaps of the rates, and each quarter of the engines slow once.
const SECONDS: u64 = 9;
/// Difference of two shares of requests on time that says nothing: with fresh heartbeats, eight replays with other random
/// numbers came to 0.955 to 0.964.
const NOISE: f64 = 0.01;
/// Fronts of two sizes, which send differently much.
const UNEVEN: Deployment = Deployment { uneven: true, ..SMALL };

/// Replays the deployment without and with spreading by unseen sends, after `change` of the simulation.
fn compare(
    deployment: &Deployment,
    heartbeat_age: u64,
    change: impl Fn(&mut Simulation),
) -> [(Simulation, Figures); 2] {
    [None, Some(Duration::from_millis(200))].map(|max_heartbeat_delay| {
        let settings = DispatchSettings { max_heartbeat_delay, ..DispatchSettings::default() };
        let heartbeat_age = Duration::from_millis(heartbeat_age);
        let mut sim = replay(deployment, heartbeat_age, settings, SECONDS);
        change(&mut sim);
        sim.run();
        let figures = figures(&sim);
        println!("{max_heartbeat_delay:?}: {figures:?}");
        (sim, figures)
    })
}

/// Pattern: fronts send to the engines that were idle when the others last told, all at once.
#[test]
fn old_heartbeats_cost_fewer_outputs_in_time_if_unseen_sends_are_expected() {
    let [(_, today), (_, spread)] = compare(&SMALL, 400, |_| {});
    assert!(spread.all > today.all + 2.0 * NOISE);
    assert!(spread.ratio[0] < today.ratio[0] && spread.idle[0] < today.idle[0]);
}

macro_rules! no_worse_than_today {
    ($($name:ident: $deployment:expr, $age:expr, $change:expr;)*) => {$(
        #[test]
        fn $name() {
            let [(_, today), (_, spread)] = compare(&$deployment, $age, $change);
            assert!(spread.all >= today.all - NOISE);
        }
    )*};
}

no_worse_than_today! {
    fresh_heartbeats_are_used_as_well_as_today: SMALL, 0, |_| {};
    fronts_of_two_sizes_do_no_worse_than_today: UNEVEN, 400, |_| {};
    fronts_of_two_sizes_use_fresh_heartbeats_as_well_as_today: UNEVEN, 0, |_| {};
    silent_fronts_cost_no_more_than_today: SMALL, 40, |sim| {
        sim.silent = (0..SMALL.fronts / 4).map(|it| (it, Time::from_millis(2_000))).collect();
    };
    fronts_that_hear_nothing_do_no_worse_than_today: SMALL, 40, |sim| {
        sim.silent = (0..SMALL.fronts).map(|it| (it, Time::from_millis(2_000))).collect();
    };
    a_restart_of_all_fronts_costs_no_more_than_today: SMALL, 40, |sim| {
        sim.restart_all(Time::from_millis(4_000));
    };
}

/// Pattern: a front spreads requests though it knows all load.
#[test]
fn a_single_front_decides_as_today() {
    let rates = |rates: [f64; 2]| rates.map(|it| it / 4.0);
    let (prefill_engines, decode_engines) = (5, 10);
    let (long, short) = (rates(SMALL.long), rates(SMALL.short));
    let alone = Deployment { fronts: 1, prefill_engines, decode_engines, long, short, ..SMALL };
    let [(today, _), (spread, _)] = compare(&alone, 40, |_| {});
    assert!(today.outcomes == spread.outcomes);
}

/// Pattern: a choice depends on more than the events, so that no replay shows a fault of it again.
#[test]
fn the_same_events_lead_to_the_same_choices() {
    let [_, (first, _)] = compare(&SMALL, 40, |_| {});
    let [_, (second, _)] = compare(&SMALL, 40, |_| {});
    assert!(first.outcomes == second.outcomes);
}
