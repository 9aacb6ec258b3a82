//! Prints how evenly fronts load the engines, by the age of their heartbeats.
//!
//! `cargo run --release --example even_load [AGE_MS ...]`

#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/simulation/mod.rs"]
mod simulation;

use std::time::Duration;

use daisychute_dispatch::DispatchSettings;

use crate::simulation::replay::{LARGE, SMALL, figures, replay};

/// Time that a replay covers, in s.
const SECONDS: u64 = 28;
/// Maximum delay of heartbeats that the fronts assume; `None` is the selection without unseen sends.
const MAX_DELAY_MS: [Option<u64>; 4] = [None, Some(100), Some(200), Some(400)];

fn main() {
    let ages: Vec<u64> = std::env::args().skip(1).filter_map(|it| it.parse().ok()).collect();
    let ages = if ages.is_empty() { vec![0, 40, 400, 1_000] } else { ages };
    println!("| fronts | age ms | setting ms | on time | long | short | max/mean | idle | again |");
    for deployment in [SMALL, LARGE] {
        for age in &ages {
            for max in MAX_DELAY_MS {
                let max_heartbeat_delay = max.map(Duration::from_millis);
                let settings =
                    DispatchSettings { max_heartbeat_delay, ..DispatchSettings::default() };
                let mut sim = replay(&deployment, Duration::from_millis(*age), settings, SECONDS);
                sim.run();
                let it = figures(&sim);
                println!(
                    "| {} | {age} | {max:?} | {:.3} | {:.3} | {:.3} | {:.2} | {:.3} | {} |",
                    deployment.fronts, it.all, it.long, it.short, it.ratio[0], it.idle[0], it.again
                );
            }
        }
    }
}
