//! How the bodies of requests share the memory of a front.

use daisychute_front::{BodyBudget, Room, Ticket};

const KIB: usize = 1024;
/// Limit of all tests, of which large bodies leave 256 KiB to small ones.
const LIMIT: usize = 2_048 * KIB;
/// What large bodies may take.
const LARGE: usize = 1_792 * KIB;

fn granted(budget: &mut BodyBudget, held: usize, more: usize) {
    assert_eq!(budget.reserve(LIMIT, held, more), Room::Granted);
}

fn queued(budget: &mut BodyBudget, held: usize, more: usize) -> Ticket {
    match budget.reserve(LIMIT, held, more) {
        Room::Queued(ticket) => ticket,
        room => panic!("{room:?}"),
    }
}

/// Each case has the bytes held by one large body, then what a further body holds, asks for, and gets.
macro_rules! cases {
    ($($name:ident: $taken:expr, $held:expr, $more:expr => $room:pat,)*) => {
        $(
            #[test]
            fn $name() {
                let mut budget = BodyBudget::default();
                granted(&mut budget, 0, $taken);
                let room = budget.reserve(LIMIT, $held, $more);
                assert!(matches!(room, $room), "{room:?}");
            }
        )*
    };
}

cases! {
    large_body_takes_what_is_left: 1_024 * KIB, 0, 768 * KIB => Room::Granted,
    large_body_waits_for_one_byte: 1_024 * KIB, 0, 768 * KIB + 1 => Room::Queued(_),
    large_body_leaves_the_rest_to_small_ones: LARGE, 0, 65 * KIB => Room::Queued(_),
    small_body_takes_the_rest: LARGE, 0, 64 * KIB => Room::Granted,
    body_that_grows_large_counts_as_one: LARGE, 60 * KIB, 5 * KIB => Room::Queued(_),
    body_that_never_fits_is_refused: 64 * KIB, 0, LARGE + 1 => Room::Refused,
    growth_that_never_fits_is_refused: LARGE, LARGE, 1 => Room::Refused,
}

#[test]
fn bodies_get_room_in_order() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    let first = queued(&mut budget, 0, 1_000 * KIB);
    let second = queued(&mut budget, 0, 100 * KIB);
    budget.release(LARGE);
    assert!(!budget.claim(LIMIT, second));
    assert!(matches!(budget.reserve(LIMIT, 0, 100 * KIB), Room::Queued(_)), "passed the line");
    assert!(budget.claim(LIMIT, first));
    assert!(budget.claim(LIMIT, second));
    assert_eq!((budget.held(), budget.waiting()), (1_100 * KIB, 1));
}

#[test]
fn body_that_has_begun_goes_first() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, 60 * KIB);
    granted(&mut budget, 0, LARGE - 60 * KIB);
    let waiting = queued(&mut budget, 0, 100 * KIB);
    let begun = queued(&mut budget, 60 * KIB, 100 * KIB);
    budget.release(LARGE - 60 * KIB);
    assert!(!budget.claim(LIMIT, waiting));
    assert!(budget.claim(LIMIT, begun));
    assert!(budget.claim(LIMIT, waiting));
}

/// Guards against bodies that hold memory and wait for each other.
#[test]
fn body_that_holds_more_than_a_small_one_never_waits() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE / 2);
    granted(&mut budget, 0, LARGE / 2);
    assert_eq!(budget.reserve(LIMIT, LARGE / 2, 100 * KIB), Room::Refused);
    assert_eq!(budget.reserve(LIMIT, 64 * KIB + 1, 100 * KIB), Room::Refused);
    let first = queued(&mut budget, 64 * KIB, 100 * KIB);
    let second = queued(&mut budget, 64 * KIB, 100 * KIB);
    budget.release(LARGE / 2);
    assert!(!budget.claim(LIMIT, second));
    assert!(budget.claim(LIMIT, first) && budget.claim(LIMIT, second));
}

#[test]
fn body_that_has_begun_passes_the_line() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, 100 * KIB);
    granted(&mut budget, 0, LARGE - 200 * KIB);
    queued(&mut budget, 0, 200 * KIB);
    granted(&mut budget, 100 * KIB, 100 * KIB);
}

#[test]
fn small_body_passes_the_line() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    queued(&mut budget, 0, 100 * KIB);
    granted(&mut budget, 0, KIB);
}

#[test]
fn withdrawn_body_leaves_its_place() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    let first = queued(&mut budget, 0, 1_000 * KIB);
    let second = queued(&mut budget, 0, 1_000 * KIB);
    budget.withdraw(first);
    budget.release(LARGE);
    assert!(!budget.claim(LIMIT, first));
    assert!(budget.claim(LIMIT, second));
    assert_eq!((budget.held(), budget.waiting()), (1_000 * KIB, 0));
}

#[test]
fn no_more_bytes_are_waited_for_than_the_limit() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    let first = queued(&mut budget, 0, 1_024 * KIB);
    queued(&mut budget, 0, 1_024 * KIB);
    assert_eq!(budget.reserve(LIMIT, 0, 1_024 * KIB), Room::Refused);
    budget.withdraw(first);
    queued(&mut budget, 0, 100 * KIB);
}

#[test]
fn smaller_limit_holds_for_what_comes_next() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    let Room::Queued(ticket) = budget.reserve(LIMIT / 2, 0, KIB) else { panic!("granted") };
    assert!(!budget.claim(LIMIT / 2, ticket));
    budget.release(LARGE);
    assert!(budget.claim(LIMIT / 2, ticket));
    assert_eq!(budget.held(), KIB);
}

#[test]
fn shortfall_counts_those_before() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE - 50 * KIB);
    let first = queued(&mut budget, 0, 100 * KIB);
    let second = queued(&mut budget, 0, 200 * KIB);
    assert_eq!(budget.shortfall(LIMIT, first), 50 * KIB);
    assert_eq!(budget.shortfall(LIMIT, second), 250 * KIB);
    budget.release(LARGE - 50 * KIB);
    assert_eq!(budget.shortfall(LIMIT, second), 0);
    budget.withdraw(first);
    assert_eq!(budget.shortfall(LIMIT, first), 0);
}

/// Guards against small bodies that are refused, or wait for long, since many large ones wait.
#[test]
fn small_bodies_wait_before_large_ones() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    granted(&mut budget, 0, 60 * KIB);
    let large = queued(&mut budget, 0, LARGE);
    granted(&mut budget, 0, 60 * KIB);
    granted(&mut budget, 0, 60 * KIB);
    granted(&mut budget, 0, 60 * KIB);
    let small = queued(&mut budget, 0, 60 * KIB);
    let second = queued(&mut budget, 0, 60 * KIB);
    budget.release(60 * KIB);
    assert!(!budget.claim(LIMIT, large) && !budget.claim(LIMIT, second));
    assert!(budget.claim(LIMIT, small));
    assert_eq!(budget.waiting(), 2);
}

/// Guards against small bodies that wait for large ones which have begun, though what these leave is free.
#[test]
fn small_body_does_not_wait_for_a_large_one_that_has_begun() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    granted(&mut budget, 0, 60 * KIB);
    let begun = queued(&mut budget, 60 * KIB, 100 * KIB);
    for _ in 0..3 {
        granted(&mut budget, 0, 60 * KIB);
    }
    let small = queued(&mut budget, 0, 40 * KIB);
    budget.release(60 * KIB);
    assert!(!budget.claim(LIMIT, begun));
    assert!(budget.claim(LIMIT, small));
}

/// Guards against bodies that are refused at once since a few much larger ones wait.
#[test]
fn body_takes_the_place_of_a_larger_one_that_waits() {
    let mut budget = BodyBudget::default();
    granted(&mut budget, 0, LARGE);
    let first = queued(&mut budget, 0, 1_000 * KIB);
    let second = queued(&mut budget, 0, 1_000 * KIB);
    let smaller = queued(&mut budget, 0, 200 * KIB);
    assert!(budget.is_queued(first) && budget.is_queued(smaller) && !budget.is_queued(second));
    assert_eq!(budget.reserve(LIMIT, 0, 1_000 * KIB), Room::Refused);
    budget.release(LARGE);
    assert!(budget.claim(LIMIT, first) && budget.claim(LIMIT, smaller));
    assert!(!budget.claim(LIMIT, second));
}
