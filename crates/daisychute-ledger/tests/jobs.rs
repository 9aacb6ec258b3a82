//! Jobs under random schedules of faults: none is lost, and each is answered once.

mod job_world;

use std::time::Duration;

use daisychute_ledger::{JobLimits, RunnerEvent};
use job_world::schedule::{Schedule, Step};
use job_world::{Message, World};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x5EED_1001;
const CASES: u64 = 1_000;

macro_rules! schedules {
    ($($name:ident: $base:expr, $number:literal;)*) => {$(
        #[test]
        fn $name() {
            #[allow(clippy::needless_pass_by_value, reason = "quickcheck passes by value")]
            fn property(schedule: Schedule) -> Result<bool, String> {
                let base: &[Step] = $base;
                let mut world = World::new(schedule.seed, JobLimits { object_bytes: 400, ..JobLimits::default() });
                base.iter().chain(&schedule.steps).for_each(|it| world.step(*it));
                world.check_end().map(|()| true)
            }
            println!("seed {}", SEED + $number);
            let rng = Gen::from_size_and_seed(100, SEED + $number);
            let property: fn(Schedule) -> Result<bool, String> = property;
            QuickCheck::new().rng(rng).tests(CASES).quickcheck(property);
        }
    )*};
}

schedules! {
    none_is_lost_from_a_quiet_start: &[], 0;
    none_is_lost_on_a_lossy_platform: &[Step::Lossy(true)], 1;
    none_is_lost_under_load: &[Step::Submit { entry: 0, jobs: 30 }, Step::Submit { entry: 1, jobs: 30 }], 2;
}

/// Store calls of jobs that one process groups, at the rate that a data centre has at full size.
#[test]
fn store_calls_per_thousand_jobs() {
    const JOBS: u64 = 1_000;
    const PER_SECOND: u64 = 70;
    let mut world = World::new(SEED, JobLimits::default());
    world.post(0, 0, Message::Run(RunnerEvent::Capacity(2_000)));
    for it in 0..JOBS {
        world.submit(0);
        world.run_for(Duration::from_micros(1_000_000 / PER_SECOND));
        assert_eq!(world.submitted, it + 1);
    }
    world.run_for(Duration::from_secs(120));
    assert_eq!(world.accepted.len(), 1_000);
    assert!(world.accepted.keys().all(|it| world.result(it).is_some()));
    world.fetch_all();
    world.run_for(Duration::from_secs(20));
    let calls = [world.segments.calls, world.states.calls, world.results.calls];
    println!("store calls per 1,000 jobs at {PER_SECOND}/s: segments, states, results {calls:?}");
    assert_eq!(world.states.len(), 0);
    assert!(calls.iter().sum::<u64>() < JOBS);
}
