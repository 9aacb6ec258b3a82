//! Counting at fronts, merging at the holder, and the time that delimits windows.

use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{TenantName, Time};
use daisychute_usage::{
    TrueTime, UnixTime, UsageCollector, UsageCounter, UsageSettings, UsageShare, WindowId,
};

/// Start of window 1,000 of five seconds.
const START_MS: u64 = 5_000_000;
const BUDGET: usize = 1_400;

fn tenant(name: &str) -> TenantName {
    TenantName::try_from(name).expect("a valid name")
}

fn window(number: u64) -> WindowId {
    WindowId::new(number)
}

/// A time of the process that started with window 1,000, and the true time then.
fn at(ms: u64) -> (Time, UnixTime) {
    (Time::from_millis(ms), UnixTime::from_millis(START_MS + ms))
}

fn counter(started_ms: u64) -> UsageCounter {
    UsageCounter::new(UsageSettings::default(), 7, Time::from_millis(started_ms))
}

fn record(counter: &mut UsageCounter, now_ms: u64, name: &str, began_ms: u64) -> bool {
    let (now, true_time) = at(now_ms);
    counter.record(now, true_time, &tenant(name), Time::from_millis(began_ms))
}

fn shares(counter: &mut UsageCounter, now_ms: u64) -> Vec<UsageShare> {
    let (now, true_time) = at(now_ms);
    counter.shares(now, true_time, BUDGET)
}

fn share(source: u64, count: u64, total: u64, from_start: bool, complete: bool) -> UsageShare {
    let counts = BTreeMap::from([(tenant("acme"), count)]);
    UsageShare { source, window: window(1_000), counts, total, from_start, complete }
}

fn collector(shares: &[UsageShare]) -> UsageCollector {
    let mut collector = UsageCollector::new();
    for share in shares {
        collector.merge(share, window(1_001));
    }
    collector
}

macro_rules! windows {
    ($($name:ident: $ms:expr => $window:expr,)*) => {$(
        #[test]
        fn $name() {
            let found = WindowId::containing(UnixTime::from_millis($ms), Duration::from_secs(5));
            assert_eq!(found, window($window));
            assert!(found.begin(Duration::from_secs(5)).as_millis() <= $ms);
            assert!($ms < found.end(Duration::from_secs(5)).as_millis());
        }
    )*};
}

windows! {
    epoch_is_in_the_first_window: 0 => 0,
    last_millisecond_belongs_to_its_window: 4_999 => 0,
    end_of_a_window_belongs_to_the_next: 5_000 => 1,
    window_of_the_working_page: 1_767_225_600_000 => 353_445_120,
}

/// A response head that arrives in the next window would otherwise shift requests from window to window.
#[test]
fn request_counts_in_the_window_in_which_it_began() {
    let mut counter = counter(0);
    assert!(record(&mut counter, 6_000, "acme", 4_900));
    assert!(record(&mut counter, 6_000, "acme", 5_100));
    let counts: Vec<_> =
        shares(&mut counter, 6_000).into_iter().map(|it| (it.window, it.total)).collect();
    assert_eq!(counts, [(window(1_000), 1), (window(1_001), 1)]);
}

#[test]
fn window_without_requests_has_a_share_and_becomes_complete() {
    let mut counter = counter(0);
    let flags = |it: &[UsageShare]| -> Vec<_> {
        it.iter()
            .filter(|it| it.window == window(1_000))
            .map(|it| (it.from_start, it.complete))
            .collect()
    };
    assert_eq!(flags(&shares(&mut counter, 0)), [(true, false)]);
    assert_eq!(flags(&shares(&mut counter, 6_400)), [(true, false)]);
    assert_eq!(flags(&shares(&mut counter, 6_500)), [(true, true)]);
}

#[test]
fn window_in_which_the_front_started_is_not_from_its_start() {
    let mut counter = counter(10);
    let flags: Vec<_> = shares(&mut counter, 5_000).iter().map(|it| it.from_start).collect();
    assert_eq!(flags, [false, true]);
}

/// A lost datagram must not cost its counts, and unchanged ones must not fill the link.
#[test]
fn share_is_sent_again_when_it_changed_or_after_a_while_until_it_is_reported() {
    let mut counter = counter(0);
    let sent = |counter: &mut UsageCounter, ms| shares(counter, ms).len();
    assert_eq!(sent(&mut counter, 0), 1);
    assert_eq!(sent(&mut counter, 500), 0);
    assert!(record(&mut counter, 600, "acme", 600));
    assert_eq!(sent(&mut counter, 700), 1);
    assert_eq!(sent(&mut counter, 1_700), 1);
    counter.resend_all();
    assert_eq!(sent(&mut counter, 1_800), 1);
    counter.forget_through(window(1_000));
    assert_eq!(sent(&mut counter, 4_000), 0);
    assert!(!record(&mut counter, 4_000, "acme", 3_900), "a reported window is not opened again");
}

#[test]
fn share_ends_when_its_window_is_old() {
    let mut counter = counter(0);
    assert!(record(&mut counter, 1_000, "acme", 1_000));
    let first = |it: Vec<UsageShare>| it.first().map(|it| it.window);
    assert_eq!(first(shares(&mut counter, 64_900)), Some(window(1_000)));
    counter.resend_all();
    assert_eq!(first(shares(&mut counter, 65_000)), Some(window(1_001)));
    assert!(record(&mut counter, 500_000, "acme", 500_000));
    assert!(shares(&mut counter, 500_000).len() <= UsageSettings::MAX_WINDOWS);
}

/// A datagram over the budget is fragmented or dropped by the network.
#[test]
fn pieces_fit_the_budget_and_lose_nothing() {
    let mut counter = counter(0);
    let names: Vec<String> = (0..300).map(|it| format!("{it:0>60}")).collect();
    for name in &names {
        assert!(record(&mut counter, 100, name, 100));
    }
    let mut pieces = shares(&mut counter, 6_500);
    pieces.retain(|it| it.window == window(1_000));
    let mut collector = UsageCollector::new();
    for (index, piece) in pieces.iter().enumerate() {
        let mut encoded = Vec::new();
        let largest = UsageShare {
            counts: piece.counts.keys().map(|it| (it.clone(), u64::MAX)).collect(),
            source: u64::MAX,
            total: u64::MAX,
            ..piece.clone()
        };
        ciborium::into_writer(&largest, &mut encoded).expect("a share can be encoded");
        assert!(encoded.len() <= BUDGET, "{} bytes", encoded.len());
        let complete = collector.is_complete(window(1_000), 7);
        assert!(!complete, "complete with {index} of {} pieces", pieces.len());
        assert!(collector.merge(piece, window(1_001)));
    }
    assert!(pieces.len() > 10 && collector.is_complete(window(1_000), 7));
    assert_eq!(collector.counts(window(1_000)).map(|it| it.len()), Some(300));
}

#[test]
fn tenants_of_a_window_are_bounded() {
    let mut counter = counter(0);
    let taken = (0..2_000).filter(|it| record(&mut counter, 1, &format!("t{it}"), 1)).count();
    assert_eq!(taken, UsageSettings::MAX_TENANTS);
    let mut collector = UsageCollector::new();
    for source in 0..5_000 {
        collector.merge(&share(source, 1, 1, true, false), window(1_001));
    }
    let counted: u64 =
        collector.counts(window(1_000)).into_iter().flat_map(BTreeMap::into_values).sum();
    assert_eq!(counted, UsageSettings::MAX_SOURCES as u64);
}

macro_rules! merges {
    ($($name:ident: [$($share:expr),*] => $count:expr, complete: $complete:expr;)*) => {$(
        #[test]
        fn $name() {
            let collector = collector(&[$($share),*]);
            let counts = collector.counts(window(1_000)).map(|it| it[&tenant("acme")]);
            assert_eq!((counts, collector.is_complete(window(1_000), 1)), ($count, $complete));
        }
    )*};
}

merges! {
    repeated_share_counts_once: [share(1, 3, 3, true, true), share(1, 3, 3, true, true)] => Some(3), complete: true;
    older_share_that_arrives_late_changes_nothing:
        [share(1, 5, 5, true, true), share(1, 2, 2, true, false)] => Some(5), complete: true;
    sources_add_up: [share(1, 3, 3, true, true), share(2, 4, 4, true, false)] => Some(7), complete: true;
    source_that_restarted_keeps_what_it_told: [share(1, 3, 3, true, false), share(9, 2, 2, false, false)] => Some(5), complete: false;
    share_that_lacks_a_piece_is_not_complete: [share(1, 3, 8, true, true)] => Some(3), complete: false;
    window_that_nobody_counted_from_its_start_has_no_counts:
        [share(1, 3, 3, false, true), share(2, 3, 3, false, true)] => None, complete: true;
}

#[test]
fn collector_takes_no_share_of_a_forgotten_or_future_window() {
    let mut collector = collector(&[share(1, 3, 3, true, true)]);
    assert!(!collector.merge(&share(1, 3, 3, true, true), window(999)));
    collector.forget_through(window(1_000));
    assert!(!collector.merge(&share(1, 3, 3, true, true), window(1_001)));
    assert_eq!(collector.counts(window(1_000)), None);
}

/// Tells the clocks of all sources, each off by its number of milliseconds.
fn tell(time: &mut TrueTime, now: Time, offs_ms: &[i64]) -> i64 {
    for (source, off) in (0..).zip(offs_ms) {
        let wall = (START_MS + now.as_micros() / 1_000).checked_add_signed(*off);
        time.told(now, source, UnixTime::from_millis(wall.expect("after the epoch")));
    }
    let told = time.at(now).expect("a clock was told").as_millis();
    told.cast_signed() - (START_MS + now.as_micros() / 1_000).cast_signed()
}

macro_rules! clocks {
    ($($name:ident: $before:expr, $after:expr => $off:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut time = TrueTime::new();
            tell(&mut time, Time::from_millis(100), &$before);
            assert_eq!(tell(&mut time, Time::from_millis(600), &$after), $off);
        }
    )*};
}

clocks! {
    clock_that_jumps_ahead_moves_nothing: [0, 1, -1], [0, 90_000, -1] => 0,
    own_clock_that_jumps_back_moves_nothing: [0, 1, -1], [-90_000, 1, -1] => -1,
    jump_of_one_of_two_clocks_is_not_followed: [0, 2], [9_000, 2] => 2,
    clocks_that_move_together_are_followed: [0, 0, 0], [4_000, 4_000, 4_000] => 4_000,
    clock_that_was_off_from_the_start_is_outvoted: [7_000, 0, 0, 1], [7_000, 0, 0, 1] => 0,
}

#[test]
fn clock_of_a_front_that_is_gone_is_forgotten() {
    let mut time = TrueTime::new();
    assert_eq!(time.at(Time::ZERO), None);
    tell(&mut time, Time::from_millis(100), &[0, 500, 500]);
    assert_eq!(tell(&mut time, Time::from_millis(20_000), &[0]), 0);
}
