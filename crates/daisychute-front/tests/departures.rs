//! Which records are applied after the directory was restored from a copy.

use daisychute_core::Time;
use daisychute_dispatch::Endpoint;
use daisychute_front::{Admission, Departures};

const READY: bool = false;
const DRAINING: bool = true;

fn at(ms: u64) -> Time {
    Time::from_micros(ms * 1_000)
}

/// Record of the endpoint `a` that started at this time.
fn endpoint(started_at: u64, draining: bool) -> Endpoint {
    Endpoint {
        name: "a".try_into().expect("a valid name"),
        service: "feed".try_into().expect("a valid name"),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: None,
        slots: 4,
        stage: None,
        draining,
        started_at: Some(started_at),
        software_version: None,
    }
}

/// What happens to the endpoint. Times are in milliseconds.
enum Step {
    /// The directory lists it as draining in this era.
    Draining(u64, u64),
    /// It is gone in this era, from the second time on.
    Gone(u64, u64, u64),
    /// The directory tells again that it is gone.
    Confirmed(u64, u64),
    /// The front learns that the directory was restored, or can reach it again.
    Hold(u64),
    /// The directory is listed completely in this era.
    Listed(u64, u64),
}

/// Each case has what happens, and the time, era and record that the directory lists then, with its admission.
macro_rules! cases {
    ($($name:ident: $steps:expr; $now:expr, $era:expr, $started_at:expr, $draining:expr => $admission:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut departures = Departures::default();
                for step in $steps {
                    match step {
                        Step::Draining(now, era) => {
                            departures.record_draining(at(now), era, &endpoint(1, DRAINING));
                        }
                        Step::Gone(now, gone_at, era) => {
                            departures.record_gone(at(now), at(gone_at), era, &endpoint(1, READY));
                        }
                        Step::Confirmed(now, era) => {
                            departures.confirm_gone(at(now), era, &endpoint(1, READY).name);
                        }
                        Step::Hold(now) => departures.hold(at(now)),
                        Step::Listed(now, era) => departures.record_listed(at(now), era),
                    }
                }
                let record = endpoint($started_at, $draining);
                assert_eq!(departures.admit(at($now), $era, &record, None), $admission);
            }
        )*
    };
}

use Admission::{AsListed, Draining, Gone};

cases! {
    // Guards against holding back endpoints that never left.
    an_endpoint_that_never_left_is_applied: [Step::Hold(100)]; 200, 2, 1, READY => AsListed;
    // Guards against a change of behaviour without a return: an endpoint may come back.
    without_a_return_it_may_come_back: [Step::Gone(50, 50, 1)]; 200, 1, 1, READY => AsListed;
    without_a_return_it_may_be_ready_again: [Step::Draining(50, 1)]; 200, 1, 1, READY => AsListed;
    // Guards against requests to endpoints that left before the return.
    gone_before_a_return_stays_gone: [Step::Gone(50, 50, 1), Step::Hold(100)]; 200, 2, 1, READY => Gone;
    gone_stays_gone_if_listed_as_draining: [Step::Gone(50, 50, 1), Step::Hold(100)]; 200, 2, 1, DRAINING => Gone;
    draining_before_a_return_stays_draining: [Step::Draining(50, 1), Step::Hold(100)]; 200, 2, 1, READY => Draining;
    draining_that_is_told_again_is_applied: [Step::Draining(50, 1), Step::Hold(100)]; 200, 2, 1, DRAINING => AsListed;
    it_stays_gone_after_a_second_return: [Step::Gone(50, 50, 1), Step::Hold(100), Step::Hold(9_000)]; 20_000, 3, 1, READY => Gone;
    // Guards against holding back a new start of the endpoint.
    another_incarnation_is_applied: [Step::Gone(50, 50, 1), Step::Hold(100)]; 200, 2, 2, READY => AsListed;
    // Guards against taking an uncertain removal for an acknowledged one.
    a_removal_that_may_be_undone_does_not_count: [Step::Gone(50, 2_050, 1), Step::Hold(100)]; 200, 2, 1, READY => AsListed;
    a_removal_that_was_not_undone_counts: [Step::Gone(50, 2_050, 1), Step::Hold(100)]; 2_100, 2, 1, READY => Gone;
    an_uncertain_removal_does_not_end_draining: [Step::Draining(20, 1), Step::Gone(50, 2_050, 2), Step::Hold(100)]; 200, 3, 1, READY => Draining;
    // Guards against holding back what left and came back since the return.
    gone_in_the_later_era_may_come_back: [Step::Gone(50, 50, 1), Step::Hold(100), Step::Confirmed(900, 2)]; 1_000, 2, 1, READY => AsListed;
    // Guards against losing an endpoint for good that didn't leave.
    after_the_hold_it_is_applied: [Step::Gone(50, 50, 1), Step::Hold(100)]; 15_100, 2, 1, READY => AsListed;
    after_the_hold_draining_ends: [Step::Draining(50, 1), Step::Hold(100), Step::Listed(15_100, 2)]; 15_200, 2, 1, READY => AsListed;
    // Guards against counting the time of an outage, in which no record is dropped.
    an_outage_extends_the_hold: [Step::Gone(50, 50, 1), Step::Hold(100), Step::Hold(15_000)]; 15_200, 2, 1, READY => Gone;
}

/// Guards against remembering departures for ever.
#[test]
fn a_listing_after_the_hold_forgets_what_left_before_the_return() {
    let mut departures = Departures::default();
    departures.record_gone(at(50), at(50), 1, &endpoint(1, READY));
    departures.hold(at(100));
    departures.record_listed(at(200), 2);
    assert_eq!(departures.held_until(), Some(at(100) + Departures::HOLD_TIME));
    departures.record_listed(at(100) + Departures::HOLD_TIME, 2);
    assert_eq!(departures.held_until(), None);
}

/// Guards against replacing a restarted endpoint by the earlier start in the copy, which this front never knew.
#[test]
fn an_earlier_start_in_the_copy_is_not_applied() {
    let mut departures = Departures::default();
    let (earlier, current) = (endpoint(1, READY), endpoint(2, READY));
    assert_eq!(departures.admit(at(50), 1, &earlier, Some(&current)), AsListed);
    departures.hold(at(100));
    assert_eq!(departures.admit(at(200), 2, &earlier, Some(&current)), Gone);
    assert_eq!(departures.admit(at(200), 2, &current, Some(&earlier)), AsListed);
    let after_hold = at(100) + Departures::HOLD_TIME;
    assert_eq!(departures.admit(after_hold, 2, &earlier, Some(&current)), AsListed);
}

/// Guards against replacing a restarted endpoint by an earlier start in the copy whose record had no start time yet.
#[test]
fn a_start_without_a_time_in_the_copy_is_an_earlier_one() {
    let mut departures = Departures::default();
    let current = endpoint(2, READY);
    let earlier = Endpoint { started_at: None, ..endpoint(1, READY) };
    departures.hold(at(100));
    assert_eq!(departures.admit(at(200), 2, &earlier, Some(&current)), Gone);
    assert_eq!(departures.admit(at(200), 2, &current, Some(&earlier)), AsListed);
}

/// Guards against applying a record of an endpoint of which a peer said after the return that it had left before it.
#[test]
fn a_departure_that_is_learned_after_the_return_counts() {
    let mut departures = Departures::default();
    departures.hold(at(100));
    departures.record_gone(at(150), at(150), 1, &endpoint(1, READY));
    assert_eq!(departures.admit(at(200), 2, &endpoint(1, READY), None), Gone);
}
