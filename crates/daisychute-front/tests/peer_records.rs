//! What a front knows of the other fronts.

use std::net::SocketAddr;

use daisychute_core::Time;
use daisychute_dispatch::FrontPosition;
use daisychute_front::PeerRecords;

/// Number of fronts that the directory lists.
const LISTED: u16 = 24;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], 7_000 + number))
}

fn list(records: &mut PeerRecords, now: Time, fronts: u16) {
    for number in 0..fronts {
        records.update(now, format!("front-{number}"), Some(address(number)));
    }
    records.record_listing();
}

/// Returns a time this many seconds after the start.
const fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

const fn incomplete(count: usize, rank: usize) -> FrontPosition {
    FrontPosition { count, rank, is_complete: false }
}

/// Each case changes the records of the front with number 5, and has its position at a time after that.
macro_rules! positions {
    ($($name:ident: $at_s:expr, $change:expr => $position:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut records = PeerRecords::new(address(5));
            let change: fn(&mut PeerRecords) = $change;
            change(&mut records);
            assert_eq!(records.position(at($at_s)), $position);
        }
    )*};
}

positions! {
    // Guards against a front that takes the whole of what all fronts share (BUDGET), because it was started without the
    // directory.
    front_that_was_never_told_of_others_knows_that_there_may_be_some:
        0, |_| {} => incomplete(1, 0);
    only_front_that_is_listed_is_alone:
        0, |it| { it.update(at(0), "front-5".to_owned(), Some(address(5))); it.record_listing(); }
        => FrontPosition::new(1, 0);
    listed_fronts_count:
        0, |it| list(it, at(0), LISTED) => FrontPosition::new(24, 5);
    // Guards against shares that grow in each part of a fleet that is cut in two (BUDGET).
    silent_fronts_keep_their_share:
        300, |it| {
            list(it, at(0), LISTED);
            for other in 10..LISTED {
                it.record_heartbeat(at(299), address(other));
            }
        } => FrontPosition::new(24, 5);
    // Guards against shares of removed fronts, whose records stay, that are never given back.
    fronts_that_were_silent_for_long_are_left_out:
        700, |it| {
            list(it, at(0), LISTED);
            for other in 10..LISTED {
                it.record_heartbeat(at(699), address(other));
            }
            list(it, at(699), LISTED);
        } => FrontPosition::new(15, 0);
    removed_fronts_give_their_share_back:
        1, |it| {
            list(it, at(0), LISTED);
            it.update(at(1), "front-3".to_owned(), None);
        } => FrontPosition::new(23, 4);
    fronts_that_were_only_heard_count:
        1, |it| {
            it.record_heartbeat(at(0), address(3));
            it.record_heartbeat(at(0), address(9));
            it.record_heartbeat(at(1), address(5));
        } => incomplete(3, 1);
    heard_front_counts_once_when_it_is_listed:
        1, |it| {
            it.record_heartbeat(at(0), address(3));
            list(it, at(1), LISTED);
        } => FrontPosition::new(24, 5);
    heard_front_that_falls_silent_is_left_out:
        11, |it| it.record_heartbeat(at(0), address(3)) => incomplete(1, 0);
}

// Guards against a front that was started without the directory and tells no other what it learns.
#[test]
fn fronts_that_were_heard_get_heartbeats() {
    let mut records = PeerRecords::new(address(5));
    records.record_heartbeat(at(0), address(3));
    assert_eq!(records.addresses(at(1)), [address(3)]);
}
