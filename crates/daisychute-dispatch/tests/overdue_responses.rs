//! Idempotent requests whose endpoint is silent.
//!
//! Pattern: an endpoint runs reads and loses their responses, or is cut off. Without a second attempt they fail at their
//! deadlines although other endpoints are idle.

mod common;

use std::time::Duration;

use daisychute_dispatch::{Action, Event, Reason, RequestInfo, RequestKey, SendDecision};

use crate::common::{Front, HOST, ONCE, PANEL, SHORT};

/// Objective of the routes that these tests use.
const OBJECTIVE: Duration = Duration::from_millis(100);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Front {
    fn arrive(&mut self, path: &str, timeout: Duration) -> (RequestKey, SendDecision) {
        let key = self.next_key();
        let request = RequestInfo::new(format!("id-{}", key.number()), HOST, path);
        let actions = self.handle(Event::arrived(key, request.client_timeout(timeout)));
        (key, sent(actions).expect("the request is sent"))
    }

    /// Waits until the response is overdue and reports it.
    fn report_overdue(&mut self, key: RequestKey, decision: &SendDecision) -> Option<SendDecision> {
        self.wait(decision.overdue_after.expect("the response may be overdue"));
        sent(self.handle(Event::ResponseOverdue { key }))
    }
}

fn sent(actions: Vec<Action>) -> Option<SendDecision> {
    actions.into_iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(*decision),
        _ => None,
    })
}

fn front() -> Front {
    Front::new(common::fleet())
}

#[test]
fn read_goes_to_another_endpoint_in_time() {
    let mut front = front();
    let (key, first) = front.arrive(PANEL, CLIENT_TIMEOUT);
    let second = front.report_overdue(key, &first).expect("a second attempt");
    assert_ne!(second.endpoint, first.endpoint);
    assert!(second.deadline.since(front.now) >= OBJECTIVE);
    assert_eq!(second.overdue_after, None, "the route allows two attempts");
}

macro_rules! never_overdue {
    ($($name:ident: $path:expr, $timeout:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(front().arrive($path, $timeout).1.overdue_after, None);
        }
    )*};
}

never_overdue! {
    call_that_must_run_once_stays: ONCE, CLIENT_TIMEOUT,
    stream_stays: SHORT, CLIENT_TIMEOUT,
    request_without_time_for_another_attempt_stays: PANEL, OBJECTIVE * 2,
}

#[test]
fn response_that_has_begun_is_not_replaced() {
    let mut front = front();
    let (key, first) = front.arrive(PANEL, CLIENT_TIMEOUT);
    front.handle(Event::ResponseStarted { key });
    assert!(front.report_overdue(key, &first).is_none());
    let ended = front.handle(Event::Finished { key });
    assert!(!ended.iter().any(|it| matches!(it, Action::Fail { .. } | Action::Refuse { .. })));
}

/// Without another endpoint a late response is better than none: the attempt goes on, and the request isn't ended.
#[test]
fn attempt_goes_on_without_another_endpoint() {
    let mut front =
        Front::new(common::fleet().into_iter().filter(|it| it.name.as_str() == "feed-0"));
    let (key, first) = front.arrive(PANEL, CLIENT_TIMEOUT);
    front.wait(first.overdue_after.expect("the response may be overdue"));
    assert_eq!(front.handle(Event::ResponseOverdue { key }), []);
    assert_eq!(front.dispatcher.open_requests(), 1);
}

/// Endpoints that are all slow must not get every request twice: the retry budget bounds it.
#[test]
fn second_attempts_stay_within_the_retry_budget() {
    let mut front = front();
    let open: Vec<_> = (0..200).map(|_| front.arrive(PANEL, CLIENT_TIMEOUT)).collect();
    front.wait(OBJECTIVE * 8);
    let again = open
        .iter()
        .filter(|(key, _)| sent(front.handle(Event::ResponseOverdue { key: *key })).is_some());
    assert!(again.count() < 60);
    assert_eq!(front.dispatcher.open_requests(), 200);
}

#[test]
fn request_whose_second_attempt_is_silent_too_fails_at_its_deadline() {
    let mut front = front();
    let (key, first) = front.arrive(PANEL, CLIENT_TIMEOUT);
    front.report_overdue(key, &first);
    front.wait(CLIENT_TIMEOUT);
    let actions = front.handle(Event::Expired { key });
    assert!(matches!(actions[..], [Action::Fail { reason: Reason::Deadline, .. }]), "{actions:?}");
}
