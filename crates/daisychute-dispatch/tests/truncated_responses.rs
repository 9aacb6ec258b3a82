//! Responses that are truncated after a part of them reached the client.

mod common;

use daisychute_dispatch::{Action, Event, RequestInfo, SendFailure};

use crate::common::{Front, HOST, LONG, PANEL};

/// Plays an idempotent call whose response is truncated. Returns the actions after that.
fn truncate(head_passed: bool) -> Vec<Action> {
    let mut front = Front::new(common::fleet());
    let key = front.next_key();
    front.handle(Event::arrived(key, RequestInfo::new("id-1", HOST, PANEL)));
    front.handle(Event::ResponseStarted { key });
    let failure = SendFailure::MidAnswer { head_passed };
    front.handle(Event::SendFailed { key, failure })
}

fn is_sent(actions: &[Action]) -> bool {
    actions.iter().any(|it| matches!(it, Action::Send { .. }))
}

/// Guards against a second response inside a first one, of which the client has a part.
#[test]
fn call_is_not_repeated_once_its_client_has_a_part_of_the_response() {
    let actions = truncate(true);
    assert!(matches!(actions[..], [Action::Fail { .. }]), "{actions:?}");
}

#[test]
fn call_is_repeated_if_nothing_of_its_response_was_passed_on() {
    let actions = truncate(false);
    assert!(is_sent(&actions), "{actions:?}");
}

/// Guards against a stream that begins again within its response, since nothing tells another run where to go on.
#[test]
fn stream_is_not_repeated_once_its_client_has_a_part_that_no_run_can_continue() {
    let mut front = Front::new(common::fleet());
    let key = front.next_key();
    front.handle(Event::arrived(key, RequestInfo::new("id-1", HOST, LONG)));
    front.handle(Event::ResponseStarted { key });
    front.handle(Event::FirstOutput { key });
    let actions = front.handle(Event::SendFailed { key, failure: SendFailure::Unresumable });
    assert!(matches!(actions[..], [Action::Fail { .. }]), "{actions:?}");
}
