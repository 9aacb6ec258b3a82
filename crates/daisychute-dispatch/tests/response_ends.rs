//! What tells that a response without length and chunks is whole.

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{EndStep, EndpointSign, ResponseEnd};

/// When the response ended, in ms.
const ENDED: u64 = 10_000;
/// When its endpoint has outlived it if it has run all the while, in ms.
const DUE: u64 = 11_500;
/// When the decision is made at the latest, in ms.
const LIMIT: u64 = 11_875;
/// Time between two checks, in ms.
const INTERVAL: u64 = 300;

/// From when on the connections led to the process that responded.
const BEFORE: Time = Time::from_millis(ENDED);

const WAIT: EndStep = EndStep::WaitUntil(Time::from_millis(ENDED + INTERVAL));

fn new_end() -> ResponseEnd {
    ResponseEnd::new(Time::from_millis(ENDED), Duration::from_millis(DUE - ENDED))
}

fn step(now: u64, sign: EndpointSign) -> EndStep {
    let mut end = new_end();
    assert_eq!(end.first_step(), WAIT);
    end.next_step(Time::from_millis(now), sign)
}

/// Waits until this time, in ms.
const fn until(time: u64) -> EndStep {
    EndStep::WaitUntil(Time::from_millis(time))
}

/// An answer of the endpoint itself, which was asked at the first time, in ms, and answered at the second.
const fn answer(asked_at: u64, answered_at: u64) -> EndpointSign {
    let (asked_at, answered_at) = (Time::from_millis(asked_at), Time::from_millis(answered_at));
    EndpointSign::Answered { connected_at: BEFORE, asked_at, answered_at }
}

/// Asks an endpoint whenever it is to be asked, until the decision. An answer takes `answer_time` ms, and comes after
/// `suspended`, a span in ms, if it would come within it. Returns the decision with its time.
fn decide(answer_time: u64, suspended: std::ops::Range<u64>) -> (EndStep, u64) {
    let mut end = new_end();
    let mut step = end.first_step();
    let mut now = ENDED;
    loop {
        step = match step {
            EndStep::WaitUntil(time) => {
                now = now.max(time.as_micros() / 1_000);
                end.next_step(Time::from_millis(now), EndpointSign::Due { watched: true })
            }
            EndStep::Check => {
                let asked_at = now;
                now += answer_time;
                if suspended.contains(&now) {
                    now = suspended.end;
                }
                end.next_step(Time::from_millis(now), answer(asked_at, now))
            }
            decision => return (decision, now),
        }
    }
}

/// A response that began at this time, in ms, to a request that was sent at the other time.
const fn response(began_at: u64, sent_at: u64) -> EndpointSign {
    let (began_at, sent_at) = (Time::from_millis(began_at), Time::from_millis(sent_at));
    EndpointSign::Responded { connected_at: BEFORE, sent_at, began_at }
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
    endpoint_that_answers_at_once_may_still_stop: 10_040, answer(10_040, 10_040) => until(10_340);
    endpoint_that_answers_late_may_have_been_suspended: 11_400, answer(11_400, 11_400) => until(11_500);
    endpoint_that_answers_after_the_end_alone_confirms_nothing: DUE, answer(DUE, DUE) => EndStep::Unconfirmed;
    endpoint_is_asked_at_each_interval: 10_300, EndpointSign::Due { watched: false } => EndStep::Check;
    open_connection_of_a_suspended_process_is_not_enough: 10_300, EndpointSign::Due { watched: true } => EndStep::Check;
    open_connection_at_the_end_confirms_nothing: DUE, EndpointSign::Due { watched: true } => EndStep::Unconfirmed;
    missing_answer_is_asked_for_again: 10_400, EndpointSign::Unanswered => until(10_440);
    missing_answer_is_asked_for_again_at_the_end: 11_490, EndpointSign::Unanswered => until(DUE);
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
    let mut end = new_end();
    assert_eq!(end.allow_answer_time(Duration::from_millis(1_000)), WAIT);
    let open = EndpointSign::Due { watched: true };
    assert_eq!(end.next_step(at(10_300), open), EndStep::Check);
    assert_eq!(end.next_step(at(11_000), answer(10_300, 11_000)), until(DUE));
    let mut closed = end;
    assert_eq!(end.next_step(at(DUE), open), EndStep::Whole);
    assert_eq!(closed.next_step(at(DUE), EndpointSign::Due { watched: false }), EndStep::Check);
}

/// Guards against whole responses that are cut though their endpoint runs all the while.
#[test]
fn endpoint_that_answers_all_the_while_confirms_its_response() {
    assert_eq!(decide(0, 0..0), (EndStep::Whole, DUE));
    assert_eq!(decide(20, 0..0), (EndStep::Whole, DUE + 20));
}

/// Guards against responses that lack their end and look whole, since their endpoint was suspended after it gave them up (ORDER).
#[test]
fn time_in_which_an_endpoint_is_suspended_does_not_count() {
    // A suspension of less than the interval isn't noticed, nor the time in which an answer was due anyway.
    let min_run = DUE - ENDED - INTERVAL - 60;
    for start in (ENDED..DUE).step_by(50) {
        for end in (start..start + 2_000).step_by(50) {
            let (decision, decided_at) = decide(1, start..end);
            let run = decided_at - ENDED - (end - start);
            assert!(decision == EndStep::Unconfirmed || run >= min_run, "{start} to {end}: {run}");
        }
    }
    assert_eq!(decide(1, ENDED + 100..ENDED + 1_450).0, EndStep::Unconfirmed);
    assert_eq!(decide(1, ENDED + 500..ENDED + 900).0, EndStep::Whole);
}

/// Guards against responses that lack their end and look whole, since an endpoint that stops is there for long, and refuses requests
/// meanwhile (ORDER).
#[test]
fn endpoint_that_refuses_requests_has_to_begin_a_response() {
    let at = Time::from_millis;
    let mut end = new_end();
    let refused = EndpointSign::Refused { sent_at: at(10_010) };
    assert_eq!(end.next_step(at(10_020), refused), WAIT);
    for asked_at in (ENDED + INTERVAL..DUE).step_by(INTERVAL as usize) {
        let next = end.next_step(at(asked_at), answer(asked_at, asked_at));
        assert_eq!(next, until(asked_at + INTERVAL));
    }
    // It isn't asked without a pause meanwhile.
    assert_eq!(end.next_step(at(DUE), answer(DUE, DUE)), until(DUE + INTERVAL));
    let mut serving = end;
    assert_eq!(serving.next_step(at(11_600), response(11_600, 11_550)), EndStep::Whole);
    let due = EndpointSign::Due { watched: true };
    assert_eq!(end.next_step(at(LIMIT), due), EndStep::Unconfirmed);
}

/// Guards against whole responses that are cut since their endpoint had refused a request before.
#[test]
fn earlier_refusal_tells_nothing() {
    let mut end = new_end();
    let refused = EndpointSign::Refused { sent_at: Time::from_millis(ENDED - 1) };
    assert_eq!(end.next_step(Time::from_millis(10_020), refused), WAIT);
    for asked_at in (ENDED + INTERVAL..DUE).step_by(INTERVAL as usize) {
        _ = end.next_step(Time::from_millis(asked_at), answer(asked_at, asked_at));
    }
    assert_eq!(end.next_step(Time::from_millis(DUE), answer(DUE, DUE)), EndStep::Whole);
}

/// Guards against an endpoint in trouble that is asked again and again.
#[test]
fn endpoint_that_does_not_answer_is_asked_less_and_less_often() {
    let at = Time::from_millis;
    let mut end = new_end();
    let mut now = ENDED;
    for pause in [40, 80, 160, 320, 640] {
        let step = end.next_step(at(now), EndpointSign::Unanswered);
        now += pause;
        assert_eq!(step, EndStep::WaitUntil(at(now)));
    }
    assert_eq!(end.next_step(at(now), EndpointSign::Unanswered), until(DUE));
}

/// Guards against an endpoint that is asked without a pause, since it refuses requests and has run for long enough.
#[test]
fn endpoint_that_refuses_requests_is_asked_at_intervals() {
    let mut end = new_end();
    let refused = EndpointSign::Refused { sent_at: Time::from_millis(ENDED) };
    let mut step = end.next_step(Time::from_millis(ENDED), refused);
    let (mut now, mut checks) = (ENDED, 0);
    while step != EndStep::Unconfirmed {
        step = match step {
            EndStep::WaitUntil(time) => {
                now = now.max(time.as_micros() / 1_000);
                end.next_step(Time::from_millis(now), EndpointSign::Due { watched: true })
            }
            EndStep::Check => {
                checks += 1;
                end.next_step(Time::from_millis(now), answer(now, now))
            }
            EndStep::Confirm | EndStep::Whole | EndStep::Unconfirmed => {
                panic!("it has begun no response")
            }
        };
    }
    assert_eq!((now, checks), (LIMIT, 6));
}

/// Guards against a response that counts as whole by an answer from before its end (ORDER).
#[test]
fn answer_from_before_the_end_tells_nothing() {
    let at = Time::from_millis;
    let mut end = ResponseEnd::new(at(ENDED), Duration::from_millis(25));
    assert_eq!(end.next_step(at(ENDED + 10), answer(ENDED - 100, ENDED + 10)), until(ENDED + 25));
    let due = EndpointSign::Due { watched: true };
    assert_eq!(end.next_step(at(ENDED + 25), due), EndStep::Check);
    assert_eq!(end.next_step(at(ENDED + 26), answer(ENDED + 25, ENDED + 26)), EndStep::Whole);
}

/// Answers on connections that were opened after the end, until the endpoint has run for long enough. Returns the last step.
fn answers_on_new_connections(end: &mut ResponseEnd) -> EndStep {
    let mut step = end.first_step();
    for now in (ENDED + INTERVAL..=DUE).step_by(INTERVAL as usize).map(Time::from_millis) {
        let responded = EndpointSign::Responded { connected_at: now, sent_at: now, began_at: now };
        assert_ne!(end.next_step(now, responded), EndStep::Whole);
        let answered =
            EndpointSign::Answered { connected_at: now, asked_at: now, answered_at: now };
        step = end.next_step(now, answered);
    }
    step
}

/// Guards against a truncated response that looks whole since a later start of its endpoint answers checks and requests, under the
/// same name and address (ORDER, MIXED).
#[test]
fn connections_from_after_the_end_confirm_nothing() {
    let at = Time::from_millis;
    let mut end = new_end();
    assert_eq!(answers_on_new_connections(&mut end), EndStep::Confirm);
    let step = end.next_step(at(DUE), EndpointSign::Unanswered);
    assert!(matches!(step, EndStep::WaitUntil(_)), "{step:?}");
    let due = EndpointSign::Due { watched: true };
    assert_eq!(end.next_step(at(DUE), due), EndStep::Check);
    assert_eq!(end.next_step(at(LIMIT), due), EndStep::Unconfirmed);
}

/// Guards against whole responses that are cut since their endpoint refused a request, and began the next response on a new
/// connection.
#[test]
fn response_on_a_new_connection_counts_once_the_sender_has_answered() {
    let at = Time::from_millis;
    let refused = EndpointSign::Refused { sent_at: at(10_010) };
    let responded = EndpointSign::Responded {
        connected_at: at(10_300),
        sent_at: at(10_300),
        began_at: at(10_310),
    };
    let mut end = new_end();
    assert_eq!(end.next_step(at(10_020), refused), WAIT);
    assert_eq!(end.next_step(at(10_310), responded), EndStep::Confirm);
    let mut replaced = end;
    assert_eq!(end.next_step(at(10_311), answer(10_310, 10_311)), EndStep::Whole);
    let step = replaced.next_step(at(10_311), EndpointSign::Gone);
    assert_eq!(step, EndStep::Unconfirmed);
}

/// Guards against whole responses that are cut since their endpoint closes each connection after its answer.
#[test]
fn last_answer_on_a_connection_from_before_the_end_confirms_all_others() {
    let mut end = new_end();
    assert_eq!(answers_on_new_connections(&mut end), EndStep::Confirm);
    assert_eq!(end.next_step(Time::from_millis(DUE + 1), answer(DUE, DUE + 1)), EndStep::Whole);
}
