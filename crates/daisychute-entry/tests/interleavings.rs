//! Random interleavings of the request cores of entries and agents, with frames lost, delayed, crossed and repeated.

mod world;

use quickcheck::{Gen, QuickCheck};

use crate::world::{Faults, World};

macro_rules! schedules {
    ($($name:ident: $tests:literal schedules with $faults:expr;)*) => {$(
        #[test]
        fn $name() {
            fn holds(seed: u64) -> bool {
                println!("seed {seed}");
                World::new(seed, $faults).run();
                true
            }
            QuickCheck::new().rng(Gen::new(64)).tests($tests).quickcheck(holds as fn(u64) -> bool);
        }
    )*};
}

schedules! {
    cuts_kills_and_drains: 10_000 schedules with Faults { duplicates: false, losses: false };
    and_duplicated_frames: 5_000 schedules with Faults { duplicates: true, losses: false };
    and_lost_frames: 5_000 schedules with Faults { duplicates: true, losses: true };
}
