//! A retry budget keeps what it has counted when its limits change, and the shares of all fronts don't exceed it.

mod common;

use std::time::Duration;

use common::{Front, HOST, PANEL, fleet};
use daisychute_core::Time;
use daisychute_dispatch::{
    Action, DispatchSettings, Event, FrontPosition, RequestInfo, RetryBudget, SendFailure,
};

/// Retries per window, of which a budget allows seven tenths.
const SLACK: f64 = 10.0;
/// The last retry that a budget with [`SLACK`] allows is sent at this time.
const RETRIES_AT: Time = Time::from_millis(1_000);

/// Returns a budget whose retries of a window of ten seconds are used up.
fn used_up() -> RetryBudget {
    let mut budget = RetryBudget::new(0.1, SLACK, Duration::from_secs(10));
    while budget.allows(RETRIES_AT, Some(1)) {
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
            assert_eq!(budget.allows(Time::from_millis($at_ms), Some(1)), $allowed);
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

/// Number of fronts that share a budget.
const FRONTS: usize = 24;
/// Requests at each front, of which each attempt is rejected.
const REQUESTS: usize = 30;

/// Returns the number of retries that one front sends when each attempt is rejected.
fn retries(front: &mut Front) -> usize {
    let mut retries = 0;
    for request in 0..REQUESTS {
        let key = front.next_key();
        let request = RequestInfo::new(format!("{request}"), HOST, PANEL);
        let mut actions = front.handle(Event::Arrived { key, request });
        let mut sends = 0;
        while actions.iter().any(|it| matches!(it, Action::Send { .. })) {
            sends += 1;
            let failure = SendFailure::NotRun { misdirected: false };
            actions = front.handle(Event::SendFailed { key, failure });
        }
        retries += sends - 1;
    }
    retries
}

macro_rules! shared {
    ($($name:ident: $position:expr;)*) => {$(
        // Guards against fronts that take shares of the retry budget which together exceed it (BUDGET), because they
        // don't know of each other.
        #[test]
        fn $name() {
            let position: fn(usize) -> Option<FrontPosition> = $position;
            let mut sent = 0;
            for rank in 0..FRONTS {
                let mut front = Front::uncounted(fleet());
                if let Some(position) = position(rank) {
                    front.handle(Event::FrontsCounted(position));
                }
                sent += retries(&mut front);
            }
            let DispatchSettings { retry_ratio, retry_slack, .. } = DispatchSettings::default();
            let allowed = retry_ratio * (FRONTS * REQUESTS) as f64 + retry_slack;
            assert!(sent as f64 <= allowed, "{sent} retries, {allowed} allowed");
            assert!(sent > 0, "no retries");
        }
    )*};
}

shared! {
    fronts_that_know_each_other_keep_to_the_budget: |rank| Some(FrontPosition::new(FRONTS, rank));
    fronts_that_know_no_other_keep_to_the_budget: |_| None;
}
