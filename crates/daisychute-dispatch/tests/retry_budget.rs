//! A retry budget keeps what it has counted when its limits change.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::RetryBudget;

/// Retries per window, of which a budget allows seven tenths.
const SLACK: f64 = 10.0;
/// The last retry that a budget with [`SLACK`] allows is sent at this time.
const RETRIES_AT: Time = Time::from_millis(1_000);

/// Returns a budget whose retries of a window of ten seconds are used up.
fn used_up() -> RetryBudget {
    let mut budget = RetryBudget::new(0.1, SLACK, Duration::from_secs(10));
    while budget.allows(RETRIES_AT, 1) {
        budget.record_retry(RETRIES_AT);
    }
    budget
}

macro_rules! reconfigured {
    ($($name:ident: $slack:expr, $window_s:expr, $at_ms:expr => $allowed:expr,)*) => {$(
        // Guards against retries that are forgotten, or counted twice, when the budget changes.
        #[test]
        fn $name() {
            let mut budget = used_up();
            budget.configure(0.1, $slack, Duration::from_secs($window_s));
            assert_eq!(budget.used(), 7);
            assert_eq!(budget.allows(Time::from_millis($at_ms), 1), $allowed);
        }
    )*};
}

reconfigured! {
    same_limits_change_nothing: SLACK, 10, 1_500 => false,
    higher_limit_allows_more: 2.0 * SLACK, 10, 1_500 => true,
    lower_limit_allows_none: 0.1, 10, 1_500 => false,
    shorter_window_still_contains_them: SLACK, 2, 2_500 => false,
    shorter_window_is_over: SLACK, 2, 4_000 => true,
    longer_window_still_contains_them: SLACK, 60, 50_000 => false,
    longer_window_is_over: SLACK, 60, 66_000 => true,
}
