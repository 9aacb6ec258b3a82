//! Requests that wait or run at an agent while it shuts down.

use std::time::Duration;

use bytes::Bytes;
use daisychute_agent::Fifo;
use daisychute_agent::core::{Action, AgentConfig, AgentCore, Event};
use daisychute_core::{
    EndpointKind, EndpointRecord, EndpointState, Incarnation, Precedence, Refusal, RefusalReason,
    RequestId, Time,
};
use daisychute_link::LinkId;
use daisychute_proto::{Call, Frame, Start, Work};

/// Time from the request to stop until open requests end.
const DRAIN: Duration = Duration::from_secs(2);
const LINK: LinkId = LinkId::new(1);
const LEAVING: RefusalReason = RefusalReason::Leaving;

/// An agent that runs one request at a time, and whose time the test sets.
struct Agent {
    core: AgentCore<Fifo>,
    now: Time,
}

impl Agent {
    fn new() -> Self {
        let record = EndpointRecord {
            endpoint: "sign-feed-0".try_into().unwrap(),
            instance: "i-0".try_into().unwrap(),
            data_centre: "agdal".try_into().unwrap(),
            kind: EndpointKind::Service("sign-feed".try_into().unwrap()),
            agent: ([127, 0, 0, 1], 4_000).into(),
            incarnation: Incarnation::new(1),
            state: EndpointState::Live,
            target: None,
        };
        let core = AgentCore::new(AgentConfig::default(), Fifo::new(1), record);
        let mut agent = Self { core, now: Time::from_millis(1) };
        agent.handle(Event::LinkUp { link: LINK });
        agent
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        self.core.validate();
        actions
    }

    /// Plays the arrival of a request with this deadline.
    fn arrive(&mut self, number: u64, deadline: Duration) -> Vec<Action> {
        let call = Call {
            service: "sign-feed".try_into().unwrap(),
            method: "POST".to_owned(),
            path: "/counts".to_owned(),
            content_type: None,
            body: Bytes::new(),
            key: None,
            repeatable: false,
        };
        let start = Start {
            id: id(number),
            attempt: 1,
            tenant: "clerks".try_into().unwrap(),
            class: "desk".try_into().unwrap(),
            precedence: Precedence::Interactive,
            deadline,
            first_token: None,
            between_tokens: None,
            window: 1 << 10,
            work: Work::Call(call),
        };
        self.handle(Event::Frame { link: LINK, frame: Box::new(start.into()) })
    }

    fn shut_down(&mut self) -> Vec<Action> {
        self.handle(Event::Shutdown { deadline: self.now + DRAIN })
    }

    /// Wakes the core as often as it asks for, until this much time has passed.
    fn wait(&mut self, time: Duration) -> Vec<Action> {
        let until = self.now + time;
        let mut actions = Vec::new();
        while self.core.wake_at() <= until {
            self.now = self.now.max(self.core.wake_at());
            actions.extend(self.handle(Event::Wake));
        }
        self.now = until;
        actions
    }
}

fn id(number: u64) -> RequestId {
    RequestId::new(Incarnation::new(7), number)
}

fn refusals(actions: &[Action]) -> Vec<(RequestId, Refusal)> {
    let refused = |it: &Action| match it {
        Action::Send { frame, .. } => match &**frame {
            Frame::Refused(refused) => Some((refused.id, refused.refusal)),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(refused).collect()
}

/// Guards against queued requests that are cut by the exit of the process although nothing of them has run.
#[test]
fn queued_request_that_may_outlast_the_drain_is_refused_at_once() {
    let mut agent = Agent::new();
    agent.arrive(1, Duration::from_secs(10));
    agent.arrive(2, Duration::from_secs(10));
    agent.arrive(3, Duration::from_secs(1));
    let actions = agent.shut_down();
    assert_eq!(refusals(&actions), [(id(2), Refusal::not_run(LEAVING))]);
    // The third ends by its own deadline.
    let actions = agent.wait(Duration::from_millis(1_500));
    assert_eq!(refusals(&actions), [(id(3), Refusal::not_run(RefusalReason::Deadline))]);
}

/// Guards against entries that wait for a lost connection, in place of the outcome of a run that is cut.
#[test]
fn running_request_ends_with_the_drain() {
    let mut agent = Agent::new();
    agent.arrive(1, Duration::from_secs(10));
    agent.shut_down();
    let actions = agent.wait(Duration::from_millis(1_999));
    assert_eq!(refusals(&actions), []);
    let actions = agent.wait(Duration::from_millis(1));
    assert_eq!(refusals(&actions), [(id(1), Refusal::unknown(LEAVING))]);
    assert!(agent.core.jobs().is_empty());
}

/// Guards against a stopping agent that admits requests again because an earlier change of its engine has ended.
#[test]
fn stopping_agent_admits_nothing_after_the_end_of_a_drain() {
    let mut agent = Agent::new();
    agent.shut_down();
    agent.handle(Event::Drain(false));
    let actions = agent.arrive(1, Duration::from_secs(1));
    assert_eq!(refusals(&actions), [(id(1), Refusal::not_run(LEAVING))]);
}
