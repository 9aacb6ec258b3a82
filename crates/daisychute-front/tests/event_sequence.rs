//! The order of a stream's events, over all runs that contribute to it.

use daisychute_front::EventNumbering::{Consecutive, Increasing};
use daisychute_front::{Disorder, EventFramer, EventSequence};
use quickcheck::quickcheck;

fn event(id: impl std::fmt::Display) -> String {
    format!("id: {id}\ndata: x\n\n")
}

/// Defines a test for each sequence of ids: the number of the last event that the client has before, and the position of
/// the first event that is rejected.
macro_rules! sequences {
    ($($name:ident: $numbering:expr, $last:expr, $ids:expr => $rejected:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut sequence = EventSequence::new($numbering, $last);
            let ids: &[&str] = &$ids;
            let rejected = ids.iter().position(|it| sequence.accept(event(it).as_bytes()).is_err());
            assert_eq!(rejected, $rejected);
        }
    )*};
}

sequences! {
    consecutive_from_one: Consecutive, None, ["1", "2", "3"] => None,
    consecutive_from_zero: Consecutive, None, ["0", "1", "2"] => None,
    consecutive_after_the_last: Consecutive, Some(6), ["7", "8"] => None,
    repeated: Consecutive, None, ["1", "2", "2"] => Some(2),
    going_back: Consecutive, None, ["1", "2", "3", "1"] => Some(3),
    going_back_behind_the_last: Consecutive, Some(6), ["1"] => Some(0),
    repeated_last: Consecutive, Some(6), ["6"] => Some(0),
    missing: Consecutive, None, ["1", "3"] => Some(1),
    missing_first: Consecutive, None, ["2"] => Some(0),
    missing_after_the_last: Consecutive, Some(6), ["8"] => Some(0),
    largest_number: Consecutive, Some(u64::MAX), ["18446744073709551615"] => Some(0),
    sparse: Increasing, None, ["7", "14", "21"] => None,
    sparse_repeated: Increasing, None, ["7", "14", "14"] => Some(2),
    sparse_going_back: Increasing, Some(14), ["7"] => Some(0),
    opaque: Consecutive, None, ["a", "b", "a"] => None,
    opaque_between_numbers: Consecutive, None, ["1", "a", "2", "2"] => Some(3),
}

/// Defines a test for each event, by whether another run can continue a stream after it.
macro_rules! resumable {
    ($($name:ident: $event:expr => $resumable:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut sequence = EventSequence::new(Consecutive, None);
            assert_eq!(sequence.accept($event), Ok(()));
            assert_eq!(sequence.is_resumable(), $resumable);
        }
    )*};
}

resumable! {
    after_a_number: b"id: 1\ndata: a\n\n" => true,
    after_a_number_that_follows_the_data: b"data: a\nid: 1\n\n" => true,
    after_a_comment: b": note\n\n" => true,
    after_blank_lines: b"\n\n" => true,
    after_a_block_without_data: b"retry: 500\n\n" => true,
    after_an_event_without_id: b"data: a\n\n" => false,
    after_an_opaque_id: b"id: a\ndata: a\n\n" => false,
}

#[test]
fn rejection_names_both_events() {
    let mut sequence = EventSequence::new(Consecutive, Some(2));
    let repeated = sequence.accept(event(1).as_bytes());
    assert_eq!(repeated, Err(Disorder::Repeated { number: 1, after: 2 }));
    let missing = sequence.accept(event(5).as_bytes());
    assert_eq!(missing, Err(Disorder::Missing { number: 5, after: 2 }));
}

quickcheck! {
    fn events_up_to_the_first_disorder_are_returned(numbers: Vec<u8>, cuts: Vec<usize>) -> bool {
        let bytes: String = numbers.iter().map(event).collect();
        let bytes = bytes.as_bytes();
        let in_order = 1 + numbers.windows(2).take_while(|it| it[0] < it[1]).count();
        let expected: String = numbers.iter().take(in_order).map(event).collect();
        let mut cuts: Vec<_> = cuts.iter().map(|it| it % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut framer = EventFramer::new(EventSequence::new(Increasing, None));
        let pushed = cuts.windows(2).filter_map(|it| framer.push(&bytes[it[0]..it[1]]));
        let passed: Vec<u8> = pushed.flatten().collect();
        let has_disorder = in_order < numbers.len();
        passed == expected.as_bytes() && framer.disorder().is_some() == has_disorder
    }
}

#[test]
fn next_run_continues_after_a_disorder() {
    let mut framer = EventFramer::new(EventSequence::new(Consecutive, None));
    let passed = framer.push((event(1) + &event(2) + &event(1) + "id: 3").as_bytes());
    assert_eq!(passed, Some((event(1) + &event(2)).into()));
    assert_eq!((framer.push(event(3).as_bytes()), framer.is_inside_event()), (None, false));
    framer.begin_run();
    assert_eq!(framer.push(event(3).as_bytes()), Some(event(3).into()));
    assert_eq!((framer.disorder(), framer.last_id().as_deref()), (None, Some("3")));
}
