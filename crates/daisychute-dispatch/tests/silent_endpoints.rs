//! Which endpoint is blamed if a client disconnects without a response.

mod common;

use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{Action, Event, RequestInfo, RequestKey, SendFailure};

use crate::common::{Front, HOST, PANEL};

/// Requests after which each of four equal workers has got one.
const MANY: u64 = 60;

/// Returns the target if the request is sent.
fn target(actions: Vec<Action>) -> Option<EndpointName> {
    actions.into_iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.name),
        _ => None,
    })
}

impl Front {
    fn arrive(&mut self) -> (RequestKey, EndpointName) {
        let key = self.next_key();
        let request = RequestInfo::new(format!("id-{}", key.number()), HOST, PANEL);
        let actions = self.handle(Event::arrived(key, request));
        (key, target(actions).expect("the request is sent"))
    }

    /// Whether some of many requests go to this worker.
    fn uses(&mut self, worker: &EndpointName) -> bool {
        (0..MANY).any(|_| {
            let (key, target) = self.arrive();
            self.handle(Event::ResponseStarted { key });
            self.handle(Event::Finished { key });
            target == *worker
        })
    }
}

#[test]
fn worker_that_just_got_the_request_is_not_blamed() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive();
    front.wait(Duration::from_millis(500));
    let failure = SendFailure::NotRun { misdirected: false };
    let actions = front.handle(Event::SendFailed { key, failure });
    let second = target(actions).expect("a second attempt");
    front.wait(Duration::from_millis(5));
    front.handle(Event::ClientDisconnected { key });
    assert!(front.uses(&second));
}

#[test]
fn worker_that_was_silent_for_long_is_blamed() {
    let mut front = Front::new(common::fleet());
    let (key, target) = front.arrive();
    front.wait(Duration::from_millis(500));
    front.handle(Event::ClientDisconnected { key });
    assert!(!front.uses(&target));
}
