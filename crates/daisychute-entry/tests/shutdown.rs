//! Requests that arrive or are retried at an entry while it shuts down.

use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, Incarnation, Precedence, Refusal, RefusalReason,
    RequestId, Revisions, Time,
};
use daisychute_entry::LeastLoad;
use daisychute_entry::core::{Action, EntryConfig, EntryCore, Event, ResponsePart, Submission};
use daisychute_link::LinkId;
use daisychute_proto::{
    Call, Frame, Heartbeat, Hello, PROTOCOL_VERSION, ProcessRole, Refused, Work,
};

/// Time from the announcement of the shutdown until open requests end.
const DRAIN: Duration = Duration::from_secs(2);
const LEAVING: RefusalReason = RefusalReason::Leaving;

/// An entry with connections to two agents of a service, and whose time the test sets.
struct Entry {
    core: EntryCore<LeastLoad>,
    links: Vec<LinkId>,
    now: Time,
}

impl Entry {
    fn new() -> Self {
        let core =
            EntryCore::new(EntryConfig::default(), LeastLoad::default(), Incarnation::new(7));
        let mut entry = Self { core, links: Vec::new(), now: Time::from_millis(1) };
        let connects = entry.handle(Event::Endpoints(vec![record(0), record(1)]));
        for action in connects {
            let Action::Connect { link, addr } = action else { continue };
            let hello = hello(record(addr.port() - 4_000));
            entry.links.push(link);
            entry.handle(Event::LinkUp { link, hello: Box::new(hello) });
        }
        assert_eq!(entry.links.len(), 2);
        entry
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        self.core.validate();
        actions
    }

    /// Plays the arrival of a request with this deadline.
    fn arrive(&mut self, deadline: Duration) -> (RequestId, Vec<Action>) {
        let id = self.core.next_id();
        let submission = Box::new(submission(deadline));
        (id, self.handle(Event::Submit { id, submission }))
    }

    fn announce_shutdown(&mut self) {
        self.handle(Event::ShutdownAnnounced { deadline: self.now + DRAIN });
    }

    /// Plays an agent's refusal of an attempt.
    fn refused(&mut self, link: LinkId, id: RequestId, refusal: Refusal) -> Vec<Action> {
        let frame = Refused { id, attempt: 1, refusal };
        self.handle(Event::Frame { link, frame: Box::new(frame.into()) })
    }

    /// Wakes the core as often as it asks for, with heartbeats of the agents, until this much time has passed.
    fn wait(&mut self, time: Duration) -> Vec<Action> {
        let until = self.now + time;
        let mut actions = Vec::new();
        while self.core.wake_at() <= until {
            self.now = self.now.max(self.core.wake_at());
            for link in self.links.clone() {
                let frame = Heartbeat {
                    seq: 1,
                    revisions: Revisions::default(),
                    load: None,
                    endpoint: None,
                };
                self.handle(Event::Frame { link, frame: Box::new(frame.into()) });
            }
            actions.extend(self.handle(Event::Wake));
        }
        self.now = until;
        actions
    }
}

fn record(index: u16) -> EndpointRecord {
    EndpointRecord {
        endpoint: format!("sign-feed-{index}").as_str().try_into().unwrap(),
        instance: format!("i-{index}").as_str().try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        kind: EndpointKind::Service("sign-feed".try_into().unwrap()),
        agent: ([127, 0, 0, 1], 4_000 + index).into(),
        incarnation: Incarnation::new(1),
        state: EndpointState::Live,
        target: None,
    }
}

fn hello(record: EndpointRecord) -> Hello {
    Hello {
        version: PROTOCOL_VERSION,
        min_version: PROTOCOL_VERSION,
        process: "agent".try_into().unwrap(),
        incarnation: record.incarnation,
        role: ProcessRole::Agent,
        data_centre: "agdal".try_into().unwrap(),
        region: "morocco".try_into().unwrap(),
        endpoint: Some(record),
        revisions: Revisions::default(),
    }
}

fn submission(deadline: Duration) -> Submission {
    let call = Call {
        service: "sign-feed".try_into().unwrap(),
        method: "POST".to_owned(),
        path: "/counts".to_owned(),
        content_type: None,
        body: Bytes::new(),
        key: None,
        repeatable: false,
    };
    Submission {
        tenant: "clerks".try_into().unwrap(),
        class: "desk".try_into().unwrap(),
        precedence: Precedence::Interactive,
        deadline,
        first_token: None,
        between_tokens: None,
        work: Work::Call(call),
        continuable: false,
    }
}

fn refusal(actions: &[Action]) -> Option<Refusal> {
    actions.iter().find_map(|it| match it {
        Action::Respond { part: ResponsePart::Refused(refusal), .. } => {
            Some(Refusal { retry_after: None, ..*refusal })
        }
        _ => None,
    })
}

fn sent(actions: &[Action], is_frame: impl Fn(&Frame) -> bool) -> Option<LinkId> {
    actions.iter().find_map(|it| match it {
        Action::Send { link, frame } if is_frame(frame) => Some(*link),
        _ => None,
    })
}

fn started_at(actions: &[Action]) -> Option<LinkId> {
    sent(actions, |it| matches!(it, Frame::Start(_)))
}

macro_rules! arrivals {
    ($($name:ident: $deadline_ms:literal, $after_ms:literal => $accepted:literal,)*) => {$(
        /// Guards against requests that are accepted during a shutdown and cut at its end.
        #[test]
        fn $name() {
            let mut entry = Entry::new();
            entry.announce_shutdown();
            entry.wait(Duration::from_millis($after_ms));
            let (_, actions) = entry.arrive(Duration::from_millis($deadline_ms));
            assert_eq!(started_at(&actions).is_some(), $accepted, "{actions:?}");
            let expected = (!$accepted).then(|| Refusal::not_run(LEAVING));
            assert_eq!(refusal(&actions), expected);
        }
    )*};
}

arrivals! {
    request_that_ends_within_the_drain_is_accepted: 1_500, 500 => true,
    request_that_may_outlast_the_drain_is_refused: 1_501, 500 => false,
}

macro_rules! retries {
    ($($name:ident: $deadline_ms:literal => $retried:literal,)*) => {$(
        /// Guards against requests that are accepted in time, but are sent to another agent when they may no longer end.
        #[test]
        fn $name() {
            let mut entry = Entry::new();
            let (id, actions) = entry.arrive(Duration::from_millis($deadline_ms));
            let link = started_at(&actions).expect("the request is sent");
            entry.announce_shutdown();
            let actions = entry.refused(link, id, Refusal::not_run(LEAVING));
            assert_eq!(started_at(&actions).is_some(), $retried, "{actions:?}");
            let expected = (!$retried).then(|| Refusal::not_run(LEAVING));
            assert_eq!(refusal(&actions), expected);
        }
    )*};
}

retries! {
    refused_attempt_that_ends_within_the_drain_is_retried: 2_000 => true,
    refused_attempt_that_may_outlast_the_drain_is_not_retried: 2_001 => false,
}

macro_rules! withdrawals {
    ($($name:ident: $answer:expr => $told:expr,)*) => {$(
        /// Guards against requests that still wait at an agent at the end of a shutdown, and are lost without a verdict.
        #[test]
        fn $name() {
            let mut entry = Entry::new();
            let (id, actions) = entry.arrive(Duration::from_secs(20));
            let link = started_at(&actions).expect("the request is sent");
            entry.announce_shutdown();
            let actions = entry.wait(DRAIN);
            assert_eq!(sent(&actions, |it| matches!(it, Frame::Cancel(_))), Some(link));
            assert_eq!(refusal(&actions), None);
            let answer: Option<Refusal> = $answer;
            let actions = match answer {
                Some(answer) => entry.refused(link, id, answer),
                None => entry.wait(Duration::from_millis(250)),
            };
            assert_eq!(refusal(&actions), Some($told));
            assert!(entry.core.requests().is_empty());
        }
    )*};
}

withdrawals! {
    request_that_has_not_run_at_the_end_is_refused:
        Some(Refusal::not_run(RefusalReason::Cancelled)) => Refusal::not_run(LEAVING),
    request_that_runs_at_the_end_may_have_run:
        Some(Refusal::unknown(RefusalReason::Cancelled)) => Refusal::unknown(LEAVING),
    request_without_verdict_at_the_end_may_have_run: None => Refusal::unknown(LEAVING),
}
