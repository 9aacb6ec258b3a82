//! Which endpoint is blamed if a client disconnects without a response.

mod common;

use std::time::Duration;

use daisychute_core::{EndpointName, Time};
use daisychute_dispatch::{
    Action, DispatchSettings, Dispatcher, Event, RequestInfo, RequestKey, SendFailure,
};

use crate::common::{HOST, PANEL};

/// Requests after which each of four equal workers has got one.
const MANY: u64 = 60;

struct Front {
    dispatcher: Dispatcher,
    now: Time,
    next_key: u64,
}

impl Front {
    fn new() -> Self {
        let dispatcher = Dispatcher::new(DispatchSettings::default());
        let mut front = Self { dispatcher, now: Time::ZERO, next_key: 1 };
        front.handle(Event::Configured(common::table(1)));
        for endpoint in common::fleet() {
            front.handle(Event::EndpointUpserted(endpoint));
        }
        front
    }

    /// Returns the target if the request is sent.
    fn handle(&mut self, event: Event) -> Option<EndpointName> {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        actions.into_iter().find_map(|it| match it {
            Action::Send { decision, .. } => Some(decision.name),
            _ => None,
        })
    }

    fn arrive(&mut self) -> (RequestKey, EndpointName) {
        let key = RequestKey::new(self.next_key);
        self.next_key += 1;
        let request = RequestInfo::new(format!("id-{}", key.number()), HOST, PANEL);
        let target = self.handle(Event::arrived(key, request)).expect("the request is sent");
        (key, target)
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
    let mut front = Front::new();
    let (key, _) = front.arrive();
    front.now = Time::from_millis(500);
    let failure = SendFailure::NotRun { misdirected: false };
    let second = front.handle(Event::SendFailed { key, failure }).expect("a second attempt");
    front.now = front.now + Duration::from_millis(5);
    front.handle(Event::ClientDisconnected { key });
    assert!(front.uses(&second));
}

#[test]
fn worker_that_was_silent_for_long_is_blamed() {
    let mut front = Front::new();
    let (key, target) = front.arrive();
    front.now = Time::from_millis(500);
    front.handle(Event::ClientDisconnected { key });
    assert!(!front.uses(&target));
}
