//! Replays of a fleet whose fronts know the load of the engines only from heartbeats that are some time old.

mod common;
mod simulation;

use std::time::Duration;

use daisychute_dispatch::DispatchSettings;

use crate::simulation::replay::{Figures, SMALL, figures, replay};

/// Time that a replay covers, in s: three swaps of the rates, and each quarter of the engines slow once.
const SECONDS: u64 = 9;

fn run(heartbeat_age: u64, settings: DispatchSettings) -> Figures {
    let mut sim = replay(&SMALL, Duration::from_millis(heartbeat_age), settings, SECONDS);
    sim.run();
    figures(&sim)
}

/// Pattern: fronts send to the engines that were idle when the others last told, all at once.
#[test]
fn old_heartbeats_cost_outputs_in_time() {
    let (fresh, old) = (run(0, DispatchSettings::default()), run(400, DispatchSettings::default()));
    println!("fresh: {fresh:?}\nold: {old:?}");
    assert!(fresh.all - old.all > 0.05);
    assert!(old.idle[0] > fresh.idle[0] && old.ratio[0] > fresh.ratio[0]);
}
