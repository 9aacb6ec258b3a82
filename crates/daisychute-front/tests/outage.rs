//! Which records that vanish around an outage may come back.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::Removal;
use daisychute_front::DirectoryOutage;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn in_doubt(ms: u64) -> Removal {
    Removal::AfterOutage(Duration::from_millis(ms))
}

/// Names each case: failed calls by when they should have been answered, the first answer after them, a record that
/// vanishes, and what that means.
macro_rules! cases {
    ($($name:ident: $failed:expr, $answered:expr, $vanishes:expr => $removal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut outage = DirectoryOutage::default();
                for due in $failed {
                    let due: u64 = due;
                    outage.failed(at(due));
                }
                outage.answered(at($answered));
                assert_eq!(outage.removal(at($vanishes)), $removal);
            }
        )*
    };
}

cases! {
    without_an_outage_it_has_left: [], 100, 150 => Removal::Left;
    a_directory_that_is_back_at_once_leaves_two_seconds_of_doubt: [100], 150, 150 => in_doubt(2_000);
    the_doubt_runs_out: [100], 150, 1_150 => in_doubt(1_000);
    after_the_doubt_it_has_left: [100], 150, 2_150 => Removal::Left;
    // egyezt-bud, trouble-2: cut off until 26.7 s, heard again at 27.9 s, and bound by removals from 29.7 s on.
    doubt_ends_before_the_front_counts_as_in_touch: [25_300, 26_300], 27_900, 27_900 => in_doubt(900);
    a_directory_noticed_too_late_leaves_no_doubt: [10_000], 13_000, 13_000 => Removal::Left;
}

#[test]
fn only_the_first_answer_after_a_failure_begins_the_doubt() {
    let mut outage = DirectoryOutage::default();
    outage.failed(at(100));
    assert!(outage.answered(at(200)));
    assert!(!outage.answered(at(1_200)));
    assert_eq!(outage.removal(at(1_200)), in_doubt(1_000));
}
