//! What endpoints announce in their responses: that they are leaving.

mod common;

use std::time::Duration;

use daisychute_dispatch::{
    Action, Endpoint, EndpointKey, Event, Incarnation, Prompt, PromptPart, Reason, Removal,
    RequestInfo, RequestKey, SendDecision,
};

use crate::common::{Front, HOST, LONG, ONCE, PANEL, endpoint, name};

/// Time after which a leaving endpoint is checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(20);

/// Defines a test for each function in `cases`.
macro_rules! notice_tests {
    ($($name:ident,)*) => {$(
        #[test]
        fn $name() {
            cases::$name();
        }
    )*};
}

notice_tests! {
    leaving_endpoint_gets_nothing_new,
    leaving_prefill_engine_gets_no_prompts,
    request_in_flight_at_a_leaving_endpoint_goes_on,
    leaving_is_announced_to_peers_once,
    leaving_holds_against_a_record_that_comes_back,
    leaving_announced_after_the_removal_holds,
    leaving_reported_by_a_peer_holds,
    leaving_reported_before_the_record_holds,
    leaving_of_another_start_does_not_count,
    service_whose_endpoints_all_leave_refuses,
    leaving_endpoint_is_checked_and_may_stay,
    draining_endpoint_is_not_checked,
}

/// Creates a front that knows `count` endpoints of the plain service.
fn plain(count: usize) -> Front {
    Front::new((0..count).map(|it| endpoint(it, "feed", None)))
}

fn key_of(front: &Front, of: &str) -> EndpointKey {
    front.dispatcher.fleet().key(&name(of)).expect("a known endpoint")
}

/// Starts a request on a path. Returns its key and the resulting actions.
fn arrive(front: &mut Front, path: &str) -> (RequestKey, Vec<Action>) {
    let key = front.next_key();
    let number = key.number();
    let mut request = RequestInfo::new(format!("{number}"), HOST, format!("{path}{number}"))
        .client_timeout(Duration::from_secs(3));
    if path == LONG {
        let parts = vec![
            PromptPart { key: number % 5, tokens: 13_000 },
            PromptPart { key: 1_000 + number, tokens: 4_000 },
        ];
        request = request.prompt(Prompt { parts, tokens: 17_000, max_output: 50 });
    }
    (key, front.handle(Event::Arrived { key, request }))
}

fn decision(actions: &[Action]) -> Option<&SendDecision> {
    actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(&**decision),
        _ => None,
    })
}

/// Plays 40 requests to their ends. Returns the names of the endpoints that they were sent to.
fn targets(front: &mut Front, path: &str) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..40 {
        let (key, mut actions) = arrive(front, path);
        while let Some(sent) = decision(&actions) {
            names.push(sent.name.to_string());
            front.wait(Duration::from_millis(5));
            actions = if sent.task == daisychute_dispatch::Task::Prefill {
                front.handle(Event::Prefilled { key, handle: "h".into() })
            } else {
                front.handle(Event::ResponseStarted { key });
                front.handle(Event::FirstOutput { key });
                front.handle(Event::Finished { key })
            };
        }
    }
    names
}

/// Whether any of 40 requests is sent to the endpoint.
fn is_used(front: &mut Front, of: &str) -> bool {
    targets(front, PANEL).iter().any(|it| it == of)
}

fn feed(number: usize) -> Endpoint {
    endpoint(number, "feed", None)
}

fn announce_leaving(front: &mut Front, of: &str) -> Vec<Action> {
    let endpoint = key_of(front, of);
    front.handle(Event::LeavingAnnounced { endpoint })
}

fn checks(actions: &[Action]) -> usize {
    actions.iter().filter(|it| matches!(it, Action::CheckLeaving { .. })).count()
}

mod cases {
    use super::*;

    // An endpoint went on getting requests until the directory said that it was draining.
    pub(super) fn leaving_endpoint_gets_nothing_new() {
        let mut front = plain(4);
        assert!(is_used(&mut front, "feed-1"));
        announce_leaving(&mut front, "feed-1");
        assert!(!is_used(&mut front, "feed-1"));
    }

    // A prefill is no request of a client to the engine, and could be left out of the check.
    pub(super) fn leaving_prefill_engine_gets_no_prompts() {
        let mut front = Front::new(common::fleet());
        let before = targets(&mut front, LONG);
        let engine = before.first().cloned().expect("a request was sent");
        announce_leaving(&mut front, &engine);
        assert!(!targets(&mut front, LONG).contains(&engine));
    }

    // What runs at a leaving endpoint must neither be cut nor be sent again.
    pub(super) fn request_in_flight_at_a_leaving_endpoint_goes_on() {
        let mut front = plain(2);
        let (key, actions) = arrive(&mut front, ONCE);
        let endpoint = decision(&actions).expect("a send").endpoint;
        let actions = front.handle(Event::LeavingAnnounced { endpoint });
        assert!(decision(&actions).is_none());
        assert!(actions.contains(&Action::CloseIdleConnections { endpoint }));
        assert!(front.handle(Event::ResponseStarted { key }).iter().all(|it| {
            !matches!(it, Action::Fail { .. } | Action::Refuse { .. } | Action::Send { .. })
        }));
        assert_eq!(front.dispatcher.open_requests(), 1);
    }

    // Every response of a leaving endpoint carries the header, which must not cause a heartbeat each.
    pub(super) fn leaving_is_announced_to_peers_once() {
        let mut front = plain(2);
        let expected = Action::AnnounceLeaving { endpoint: Incarnation::from(&feed(0)) };
        assert!(announce_leaving(&mut front, "feed-0").contains(&expected));
        assert_eq!(announce_leaving(&mut front, "feed-0"), []);
    }

    // A directory that comes back from a copy lists the endpoint as ready again.
    pub(super) fn leaving_holds_against_a_record_that_comes_back() {
        let mut front = plain(3);
        announce_leaving(&mut front, "feed-0");
        front.handle(Event::EndpointUpserted(Endpoint { slots: 7, ..feed(0) }));
        assert!(!is_used(&mut front, "feed-0"));
        front.handle(Event::EndpointRemoved { name: name("feed-0"), removal: Removal::Left });
        front.handle(Event::EndpointUpserted(feed(0)));
        assert!(!is_used(&mut front, "feed-0"));
    }

    // The response of the last request may come when the directory has removed the endpoint already.
    pub(super) fn leaving_announced_after_the_removal_holds() {
        let mut front = plain(3);
        let endpoint = key_of(&front, "feed-0");
        front.handle(Event::EndpointRemoved { name: name("feed-0"), removal: Removal::Left });
        front.handle(Event::LeavingAnnounced { endpoint });
        front.handle(Event::EndpointUpserted(feed(0)));
        assert!(!is_used(&mut front, "feed-0"));
    }

    // Each front learnt by a request of its own what another one knew.
    pub(super) fn leaving_reported_by_a_peer_holds() {
        let mut front = plain(3);
        let endpoints = vec![Incarnation::from(&feed(0))];
        let actions = front.handle(Event::LeavingReported { endpoints });
        let endpoint = key_of(&front, "feed-0");
        assert_eq!(actions, [Action::CloseIdleConnections { endpoint }]);
        assert!(!is_used(&mut front, "feed-0"));
    }

    // A peer may be ahead of this front's view of the directory.
    pub(super) fn leaving_reported_before_the_record_holds() {
        let mut front = plain(2);
        let endpoints = vec![Incarnation::from(&feed(2))];
        front.handle(Event::LeavingReported { endpoints });
        front.handle(Event::EndpointUpserted(feed(2)));
        assert!(!is_used(&mut front, "feed-2"));
    }

    // The next start of an endpoint must not be bound by what an earlier one announced.
    pub(super) fn leaving_of_another_start_does_not_count() {
        let mut front = plain(3);
        announce_leaving(&mut front, "feed-0");
        let restarted = Endpoint { started_at: Some(1_800_000_000_000), ..feed(0) };
        front.handle(Event::EndpointUpserted(restarted));
        assert!(is_used(&mut front, "feed-0"));
        let endpoints = vec![Incarnation::from(&feed(0))];
        front.handle(Event::LeavingReported { endpoints });
        assert!(is_used(&mut front, "feed-0"));
    }

    // A request was sent to a leaving endpoint if no other was left.
    pub(super) fn service_whose_endpoints_all_leave_refuses() {
        let mut front = plain(2);
        announce_leaving(&mut front, "feed-0");
        announce_leaving(&mut front, "feed-1");
        let (_, actions) = arrive(&mut front, ONCE);
        assert!(matches!(
            actions[..],
            [Action::Refuse { reason: Reason::NoEndpoint, retry_after: Some(_), .. }]
        ));
    }

    // An endpoint that announced to leave and stays was lost for good.
    pub(super) fn leaving_endpoint_is_checked_and_may_stay() {
        let mut front = plain(2);
        announce_leaving(&mut front, "feed-0");
        front.wait(CHECK_INTERVAL - Duration::from_millis(1));
        assert_eq!(checks(&front.handle(Event::Tick)), 0);
        front.wait(Duration::from_millis(1));
        assert_eq!(checks(&front.handle(Event::Tick)), 1);
        assert_eq!(checks(&front.handle(Event::Tick)), 0);
        assert!(!is_used(&mut front, "feed-0"));
        let endpoint = key_of(&front, "feed-0");
        front.handle(Event::StayingConfirmed { endpoint });
        assert!(is_used(&mut front, "feed-0"));
    }

    // Checks of endpoints that the directory lists as draining are of no use.
    pub(super) fn draining_endpoint_is_not_checked() {
        let mut front = plain(2);
        announce_leaving(&mut front, "feed-0");
        front.handle(Event::EndpointUpserted(Endpoint { draining: true, ..feed(0) }));
        front.wait(CHECK_INTERVAL);
        assert_eq!(checks(&front.handle(Event::Tick)), 0);
    }
}
