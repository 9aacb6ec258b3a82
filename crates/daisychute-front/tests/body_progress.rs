//! Which bodies give their memory up once others wait for it.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_front::{BodyKey, BodyProgress};

const KIB: usize = 1024;
/// Size of all bodies. A sixteenth of it is 64 KiB.
const SIZE: usize = 1_024 * KIB;

const fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Bodies that hold their memory, each since the time in ms that is given for it.
fn bodies<const N: usize>(begun_at: [u64; N]) -> (BodyProgress, [BodyKey; N]) {
    let mut progress = BodyProgress::default();
    let keys = begun_at.map(|time| {
        let key = progress.begin(at(time));
        progress.hold(at(time), key, SIZE);
        key
    });
    (progress, keys)
}

/// Each case has what a body received when, in ms and bytes, when another one waits for memory, and whether the body gives
/// its own up.
macro_rules! cases {
    ($($name:ident: [$(($time:expr, $received:expr)),*], $now:expr => $yields:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut progress, [key]) = bodies([0]);
            $(progress.receive(at($time), key, $received);)*
            assert_eq!(progress.yield_for(at($now), 1), if $yields { vec![key] } else { vec![] });
        }
    )*};
}

cases! {
    body_that_has_just_begun_stays: [], 999 => false;
    body_of_which_nothing_arrives_has_stalled: [], 1_000 => true;
    body_that_arrives_steadily_stays: [(900, 100 * KIB), (1_800, 200 * KIB)], 2_700 => false;
    body_that_stops_short_of_its_end_has_stalled: [(100, SIZE - 1)], 1_100 => true;
    body_that_arrives_byte_by_byte_has_stalled: [(250, 1), (500, 2), (750, 3), (1_000, 4)], 1_000 => true;
    body_that_arrives_too_slowly_has_stalled: [(500, 16 * KIB), (1_000, 32 * KIB), (1_500, 48 * KIB)], 1_500 => true;
}

/// Guards against a body that is given up since the front let it wait.
#[test]
fn body_that_waits_for_memory_stays() {
    let (mut progress, [key]) = bodies([0]);
    progress.wait(key);
    assert_eq!(progress.yield_for(at(5_000), 1), []);
    progress.hold(at(5_000), key, 2 * SIZE);
    assert_eq!(progress.yield_for(at(5_999), 1), []);
    assert_eq!(progress.yield_for(at(6_000), 1), [key]);
}

#[test]
fn those_that_stalled_first_yield_first_and_no_more_than_needed() {
    let (mut progress, [third, first, second]) = bodies([20, 0, 10]);
    assert_eq!(progress.yield_for(at(2_000), SIZE + 1), [first, second]);
    assert_eq!(progress.yield_for(at(2_000), 2 * SIZE), []);
    assert_eq!(progress.yield_for(at(2_000), 2 * SIZE + 1), [third]);
}

#[test]
fn body_that_is_received_yields_nothing() {
    let (mut progress, [received, gone, stalled]) = bodies([0, 0, 0]);
    progress.end(received);
    progress.end(gone);
    assert_eq!(progress.yield_for(at(2_000), 10 * SIZE), [stalled]);
    // Once it is gone, its memory counts no longer.
    progress.end(stalled);
    let late = progress.begin(at(2_000));
    progress.hold(at(2_000), late, SIZE);
    let now = at(2_000) + BodyProgress::STALL_TIME + Duration::from_millis(1);
    assert_eq!(progress.yield_for(now, 1), [late]);
}
