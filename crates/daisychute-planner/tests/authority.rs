//! Property tests of the lease, planner, replica and order state machines together under random fault schedules, and
//! snapshots of the event logs of two fixed schedules.
//!
//! `DAISYCHUTE_SEED` replaces the fixed seed that CI uses.

mod world;

use std::env;

use daisychute_core::Time;
use quickcheck::{Gen, QuickCheck, TestResult};

use crate::world::schedule::{Act, Schedule};
use crate::world::{World, run};

/// Number of schedules per test. There are several tests so that they run in parallel.
const SCHEDULES_PER_TEST: u64 = 2_500;
/// Size parameter of the `quickcheck` generator.
const GENERATOR_SIZE: usize = 16;

fn check_schedule(schedule: Schedule) -> TestResult {
    match run(schedule) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("{violation:?}")),
    }
}

fn check(part: u64) {
    let seed = env::var("DAISYCHUTE_SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(2_026);
    println!("DAISYCHUTE_SEED={seed} part {part}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GENERATOR_SIZE, seed * 100 + part))
        .tests(SCHEDULES_PER_TEST)
        .quickcheck(check_schedule as fn(Schedule) -> TestResult);
}

macro_rules! random_schedules {
    ($($name:ident: $part:literal,)*) => {$(
        #[test]
        fn $name() {
            check($part);
        }
    )*};
}

random_schedules! {
    random_schedules_1: 1,
    random_schedules_2: 2,
    random_schedules_3: 3,
    random_schedules_4: 4,
}

/// Runs a schedule up to a point in time and returns the log of its notable events, one per line.
fn event_log(acts: Vec<(u64, Act)>, until_ms: u64) -> String {
    let mut world = World::new(Schedule { seed: 7, acts });
    world.event_log = Some(Vec::new());
    world.run_until(Time::from_millis(until_ms)).unwrap();
    world.event_log.unwrap_or_default().join("\n")
}

#[test]
fn a_paused_holder_is_replaced_and_has_no_effect() {
    let acts = vec![
        (3_000, Act::Pause { node: 0, ms: 10_000 }),
        (3_000, Act::RequestChange { engine: 0, model: 1 }),
        (13_500, Act::RequestChange { engine: 0, model: 2 }),
    ];
    insta::assert_snapshot!("lease_takeover", event_log(acts, 18_000));
}

#[test]
fn a_configuration_spreads_through_an_outage() {
    let acts = vec![
        (1_000, Act::Apply { operators: 2 }),
        (4_000, Act::Outage { ms: 4_000 }),
        (5_000, Act::Kill { node: 2, ms: 200 }),
        (9_000, Act::Apply { operators: 1 }),
    ];
    insta::assert_snapshot!("configuration_spread", event_log(acts, 13_000));
}
