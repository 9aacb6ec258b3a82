//! Random interleavings of the cores of entries and agents, with lost, delayed, crossing and duplicated frames.
//!
//! Every run uses the same schedules; `DAISYCHUTE_SEED=n` runs others.

mod world;

use std::env;

use quickcheck::{Arbitrary as _, Gen, QuickCheck};

use crate::world::{Faults, World};

const SEED: &str = "DAISYCHUTE_SEED";
const SCHEDULES: u64 = 5_000;
const GEN_SIZE: usize = 64;

/// Runs [`SCHEDULES`] schedules and prints the seed of each, the last of which is the one that failed.
fn check_schedules(name: &str, faults: Faults) {
    let seed: u64 = env::var(SEED).ok().and_then(|it| it.parse().ok()).unwrap_or_default();
    let run_schedule = move |seed: u64| {
        World::new(seed, faults).run();
        true
    };
    println!("{name}: {SEED}={seed}");
    let gen_ = Gen::from_size_and_seed(GEN_SIZE, seed);
    QuickCheck::new().rng(gen_).tests(SCHEDULES).quickcheck(Property(run_schedule));
}

/// A property that is tested with random seeds.
struct Property<F>(F);

impl<F: Fn(u64) -> bool + 'static> quickcheck::Testable for Property<F> {
    fn result(&self, rng: &mut Gen) -> quickcheck::TestResult {
        let seed = u64::arbitrary(rng);
        println!("schedule {seed}");
        quickcheck::TestResult::from_bool((self.0)(seed))
    }
}

macro_rules! schedules {
    ($($name:ident: $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            check_schedules(stringify!($name), $faults);
        }
    )*};
}

schedules! {
    cuts_kills_and_drains: Faults::default();
    cuts_kills_drains_and_goodbyes: Faults { goodbyes: true, ..Faults::default() };
    duplicated_frames: Faults { duplicates: true, ..Faults::default() };
    lost_frames: Faults { losses: true, ..Faults::default() };
    duplicated_and_lost_frames: Faults { duplicates: true, losses: true, ..Faults::default() };
    stops: Faults { duplicates: true, losses: true, stops: true, goodbyes: false };
}
