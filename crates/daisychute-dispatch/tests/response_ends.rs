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
    let end = ResponseEnd::new(Time::from_millis(ENDED), Duration::from_millis(DUE - ENDED));
    assert_eq!(end.first_step(), WAIT);
    end.next_step(Time::from_millis(now), sign)
}

const fn response_to_request_of(sent_at: u64) -> EndpointSign {
    EndpointSign::Responded { sent_at: Time::from_millis(sent_at) }
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
    open_connection_is_watched_until_the_end: 11_499, EndpointSign::Due { watched: true } => WAIT;
    open_connection_at_the_end_is_enough: DUE, EndpointSign::Due { watched: true } => EndStep::Whole;
    endpoint_without_connection_is_asked_at_the_end: DUE, EndpointSign::Due { watched: false } => EndStep::Check;
    missing_answer_is_asked_for_again: 10_400, EndpointSign::Unanswered => EndStep::WaitUntil(Time::from_millis(10_440));
    missing_answer_is_asked_for_again_at_the_end: 11_490, EndpointSign::Unanswered => WAIT;
    endpoint_without_connection_is_asked_again: 10_440, EndpointSign::Due { watched: false } => EndStep::Check;
    missing_answer_at_the_end_confirms_nothing: DUE, EndpointSign::Unanswered => EndStep::Unconfirmed;
    later_request_that_is_served_is_enough: 10_250, response_to_request_of(ENDED) => EndStep::Whole;
    later_request_that_is_served_at_once_may_be_given_up: 10_249, response_to_request_of(ENDED) => WAIT;
    response_to_an_earlier_request_tells_nothing: 11_000, response_to_request_of(9_999) => WAIT;
}
