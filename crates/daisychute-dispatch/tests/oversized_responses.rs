//! Responses that grow far beyond the usual, and responses whose endpoint is done before its client.

mod common;

use std::time::Duration;

use daisychute_core::EndpointName;
use daisychute_dispatch::{Action, Event, RequestInfo, RequestKey};

use crate::common::{Front, HOST, PANEL};

/// Requests after which each of four equal workers has got one.
const MANY: u64 = 60;
const KIB: u64 = 1024;

impl Front {
    /// Sends a call whose response begins. Returns its key and its worker.
    fn begin(&mut self) -> (RequestKey, EndpointName) {
        let key = self.next_key();
        let request = RequestInfo::new(format!("id-{}", key.number()), HOST, PANEL);
        let sent = self.handle(Event::arrived(key, request)).into_iter().find_map(|it| match it {
            Action::Send { decision, .. } => Some(decision.name),
            _ => None,
        });
        self.handle(Event::ResponseStarted { key });
        (key, sent.expect("the request is sent"))
    }

    /// Lets the response of a request grow to this size, for which the front waited so many milliseconds. Returns whether it
    /// is reported as oversized.
    fn grow(&mut self, key: RequestKey, waited_ms: u64, kib: u64) -> bool {
        let waited = Duration::from_millis(waited_ms);
        self.wait(waited);
        let actions = self.handle(Event::ResponseGrew { key, bytes: kib * KIB, waited });
        actions.iter().any(|it| matches!(it, Action::RecordOversized { .. }))
    }

    /// Whether some of many requests go to this worker.
    fn uses(&mut self, worker: &EndpointName) -> bool {
        (0..MANY).any(|_| {
            let (key, target) = self.begin();
            self.handle(Event::Finished { key });
            target == *worker
        })
    }

    /// Number of requests of this front that a worker still has.
    fn requests_at(&self, worker: &EndpointName) -> u32 {
        let mut loads = self.dispatcher.fleet().own_load(self.now);
        loads.find(|it| it.0 == worker).map_or(0, |it| it.1.requests)
    }
}

/// Guards against a worker that sends without end and goes on getting its share.
#[test]
fn worker_whose_response_outgrows_all_others_is_avoided() {
    let mut front = Front::new(common::fleet());
    let (key, worker) = front.begin();
    assert!(front.grow(key, 10, 256));
    assert!(!front.grow(key, 10, 512), "reported twice");
    assert!(!front.uses(&worker));
}

/// Guards against a worker without end that is used again as soon as its responses have been cut.
#[test]
fn worker_whose_response_has_not_ended_at_the_deadline_is_avoided_again() {
    let mut front = Front::new(common::fleet());
    let (key, worker) = front.begin();
    assert!(front.grow(key, 10, 256));
    front.wait(Duration::from_secs(5));
    front.handle(Event::Expired { key });
    assert!(!front.uses(&worker));
}

#[test]
fn worker_whose_long_response_is_whole_is_used_at_once() {
    let mut front = Front::new(common::fleet());
    let (key, worker) = front.begin();
    assert!(front.grow(key, 10, 8 * KIB));
    front.handle(Event::Finished { key });
    assert!(front.uses(&worker));
}

#[test]
fn response_that_is_no_longer_than_usual_is_not_blamed() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.begin();
    front.grow(key, 10, 512);
    front.handle(Event::Finished { key });
    let (key, worker) = front.begin();
    assert!(!front.grow(key, 10, 2 * KIB));
    assert!(front.uses(&worker));
    assert!(front.grow(key, 10, 4 * KIB));
}

/// Guards against a sound worker that is avoided for a client that reads slowly, or for a long stream.
#[test]
fn response_that_grows_slowly_is_not_blamed() {
    let mut front = Front::new(common::fleet());
    let (key, worker) = front.begin();
    assert!(!front.grow(key, 1_000, KIB));
    assert!(front.uses(&worker));
}

/// Guards against workers that seem busy with streams that they have ended.
#[test]
fn response_that_has_ended_is_not_in_flight_at_its_worker() {
    let mut front = Front::new(common::fleet());
    let (key, worker) = front.begin();
    assert_eq!(front.requests_at(&worker), 1);
    for _ in 0..2 {
        front.handle(Event::ResponseEnded { key });
        assert_eq!(front.requests_at(&worker), 0);
    }
    let (other, _) = loop {
        let (key, target) = front.begin();
        if target == worker {
            break (key, target);
        }
        front.handle(Event::Finished { key });
    };
    front.handle(Event::Finished { key });
    assert_eq!(front.requests_at(&worker), 1, "ended twice");
    front.handle(Event::Finished { key: other });
    assert_eq!(front.requests_at(&worker), 0);
}
