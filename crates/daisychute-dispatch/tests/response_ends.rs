//! What tells that a response without length and chunks is whole.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{EndStep, EndpointSign, ResponseEnd};

/// When the response ended, in ms.
const ENDED: u64 = 10_000;
/// When its endpoint has outlived it, in ms.
const DUE: u64 = 11_500;

const WAIT: EndStep = EndStep::WaitUntil(Time::from_millis(DUE));

fn step(now: u64, sign: EndpointSign) -> EndStep {
    let mut end = ResponseEnd::new(Time::from_millis(ENDED), Duration::from_millis(DUE - ENDED));
    assert_eq!(end.first_step(), WAIT);
    end.next_step(Time::from_millis(now), sign)
}

/// A response that began at this time, in ms, to a request that was sent at the other time.
const fn response(began_at: u64, sent_at: u64) -> EndpointSign {
    let (began_at, sent_at) = (Time::from_millis(began_at), Time::from_millis(sent_at));
    EndpointSign::Responded { sent_at, began_at }
}

/// Each case has the time of a sign, in ms, the sign, and what follows from it.
macro_rules! cases {
    ($($name:ident: $now:expr, $sign:expr => $step:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(step($now, $sign), $step);
        }
    )*};
}

cases! {
    closed_connection_alone_decides_nothing: 10_040, EndpointSign::Unwatched => EndStep::Check;
    endpoint_that_is_gone_may_have_broken_off: 10_040, EndpointSign::Gone => EndStep::Unconfirmed;
    endpoint_that_is_gone_later_may_have_broken_off: 11_499, EndpointSign::Gone => EndStep::Unconfirmed;
    endpoint_that_answers_at_once_may_still_stop: 10_040, EndpointSign::Present => WAIT;
    endpoint_that_answers_late_has_outlived_its_response: DUE, EndpointSign::Present => EndStep::Whole;
    endpoint_is_asked_at_the_end: DUE, EndpointSign::Due { watched: false } => EndStep::Check;
    open_connection_of_a_suspended_process_is_not_enough: DUE, EndpointSign::Due { watched: true } => EndStep::Check;
    missing_answer_is_asked_for_again: 10_400, EndpointSign::Unanswered => EndStep::WaitUntil(Time::from_millis(10_440));
    missing_answer_is_asked_for_again_at_the_end: 11_490, EndpointSign::Unanswered => WAIT;
    endpoint_that_has_not_answered_is_asked_again: 10_440, EndpointSign::Due { watched: false } => EndStep::Check;
    missing_answer_at_the_end_confirms_nothing: DUE, EndpointSign::Unanswered => EndStep::Unconfirmed;
    later_request_that_is_served_is_enough: 10_250, response(10_250, ENDED) => EndStep::Whole;
    later_request_that_is_served_at_once_may_be_given_up: 10_249, response(10_249, ENDED) => WAIT;
    beginning_that_is_seen_late_counts_as_of_its_time: 10_400, response(10_020, 10_015) => WAIT;
    response_to_an_earlier_request_tells_nothing: 11_000, response(11_000, 9_999) => WAIT;
}

/// Guards against whole responses that are cut since their endpoint answers more slowly than it is given time for.
#[test]
fn slow_endpoint_is_asked_early_and_watched_until_the_end() {
    let at = Time::from_millis;
    let mut end = ResponseEnd::new(at(ENDED), Duration::from_millis(DUE - ENDED));
    assert_eq!(end.allow_answer_time(Duration::from_millis(1_000)), EndStep::WaitUntil(at(10_500)));
    let open = EndpointSign::Due { watched: true };
    assert_eq!(end.next_step(at(10_500), open), EndStep::Check);
    assert_eq!(end.next_step(at(11_000), EndpointSign::Present), WAIT);
    let mut closed = end;
    assert_eq!(end.next_step(at(DUE), open), EndStep::Whole);
    assert_eq!(closed.next_step(at(DUE), EndpointSign::Due { watched: false }), EndStep::Check);
}
