//! Random schedules of faults against the cores of lease, planner, replicas and orders together.
//!
//! `DAISYCHUTE_SEED` runs other schedules than the fixed ones of CI.

mod world;

use std::env;

use quickcheck::{Gen, QuickCheck, TestResult};

use crate::world::run;
use crate::world::schedule::Schedule;

/// Schedules of each part. The parts run on a thread each.
const SCHEDULES: u64 = 2_500;
const ACTS: usize = 16;

fn holds(schedule: Schedule) -> TestResult {
    match run(schedule) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("{violation:?}")),
    }
}

fn check(part: u64) {
    let seed = env::var("DAISYCHUTE_SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(2_026);
    println!("DAISYCHUTE_SEED={seed} part {part}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(ACTS, seed * 100 + part))
        .tests(SCHEDULES)
        .quickcheck(holds as fn(Schedule) -> TestResult);
}

macro_rules! parts {
    ($($name:ident: $part:literal,)*) => {$(
        #[test]
        fn $name() {
            check($part);
        }
    )*};
}

parts! {
    random_schedules_1: 1,
    random_schedules_2: 2,
    random_schedules_3: 3,
    random_schedules_4: 4,
}
