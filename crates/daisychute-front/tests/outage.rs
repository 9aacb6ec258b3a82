//! Which records that are removed around an outage may come back.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::Removal;
use daisychute_front::DirectoryOutage;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

fn uncertain_for(ms: u64) -> Removal {
    Removal::AfterOutage(Duration::from_millis(ms))
}

/// Each case has the deadlines of the failed calls, the time of the first success after them, the time at which a
/// record is removed, and the expected removal, all in milliseconds.
macro_rules! cases {
    ($($name:ident: $deadlines:expr, $success:expr, $removed:expr => $removal:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut outage = DirectoryOutage::default();
                for deadline in $deadlines {
                    let deadline: u64 = deadline;
                    outage.record_failure(at(deadline));
                }
                outage.record_success(at($success));
                assert_eq!(outage.removal(at($removed)), $removal);
            }
        )*
    };
}

cases! {
    without_an_outage_a_removal_is_final: [], 100, 150 => Removal::Left;
    a_short_outage_is_followed_by_two_seconds_of_uncertainty: [100], 150, 150 => uncertain_for(2_000);
    the_uncertainty_runs_out: [100], 150, 1_150 => uncertain_for(1_000);
    after_the_uncertainty_a_removal_is_final: [100], 150, 2_150 => Removal::Left;
    // Scenario egyezt-bud, trouble-2: disconnected until 26.7 s, first success at 27.9 s, and expected to know the
    // removals from 29.7 s on.
    the_uncertainty_ends_before_the_front_counts_as_connected: [25_300, 26_300], 27_900, 27_900 => uncertain_for(900);
    a_recovery_noticed_too_late_leaves_no_uncertainty: [10_000], 13_000, 13_000 => Removal::Left;
}

#[test]
fn only_the_first_success_after_a_failure_starts_the_uncertainty() {
    let mut outage = DirectoryOutage::default();
    outage.record_failure(at(100));
    assert!(outage.record_success(at(200)));
    assert!(!outage.record_success(at(1_200)));
    assert_eq!(outage.removal(at(1_200)), uncertain_for(1_000));
}
