//! Requests that are half done, their prompt prefilled or waiting, when the configuration or an engine goes.

mod common;

use std::time::Duration;

use daisychute_core::Role;
use daisychute_dispatch::{
    Action, ClientLimits, Endpoint, Event, PeerLoad, Prompt, PromptPart, Reason, Removal,
    RequestInfo, RequestKey, Route, RouteTable, SendDecision, SendFailure, Task,
};

use crate::common::{Front, HOST, LONG, SHORT};

/// Time that a prompt takes to be prefilled.
const PREFILL_TIME: Duration = Duration::from_secs(1);
/// Latency objective, longer than an engine holds a KV cache.
const OBJECTIVE: Duration = Duration::from_secs(10);
/// How long clients wait for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// A front with a request whose prompt is at a prefill engine.
struct HalfDone {
    front: Front,
    key: RequestKey,
    /// The send of the prompt.
    prefill: SendDecision,
}

impl HalfDone {
    /// Plays the arrival of a long prompt while all decode engines are busy.
    fn new(path: &str) -> Self {
        let mut front = Front::new(common::fleet());
        front.handle(Event::Configured(table_with(2, |route| Route {
            timeout: CLIENT_TIMEOUT,
            objective: OBJECTIVE,
            ..route
        })));
        let load = PeerLoad { requests: 9, ..PeerLoad::default() };
        let generates = |it: &Endpoint| it.stage == Some(Role::Decode);
        let loads = common::fleet().into_iter().filter(generates).map(|it| (it.name, load));
        front.handle(Event::PeerHeartbeat { peer: 1, loads: loads.collect(), parts: Vec::new() });
        let key = front.next_key();
        let mut request = RequestInfo::new("id-1", HOST, path);
        request.client_timeout = Some(CLIENT_TIMEOUT);
        let parts = vec![PromptPart { key: 1, tokens: 8_800 }, PromptPart { key: 2, tokens: 200 }];
        request.prompt = Some(Prompt { parts, tokens: 9_000, max_output: 40 });
        let actions = front.handle(Event::arrived(key, request));
        let prefill = sent(&actions).expect("the prompt is sent");
        assert_eq!(prefill.task, Task::Prefill);
        Self { front, key, prefill }
    }

    fn prefilled(&mut self) -> Vec<Action> {
        self.front.wait(PREFILL_TIME);
        self.front.handle(Event::Prefilled { key: self.key, handle: "h".into() })
    }

    fn send_failed(&mut self, failure: SendFailure) -> Vec<Action> {
        self.front.handle(Event::SendFailed { key: self.key, failure })
    }

    /// Plays a response without errors and checks that nothing is left of the request.
    fn finish(&mut self) {
        self.front.handle(Event::ResponseStarted { key: self.key });
        self.front.handle(Event::FirstOutput { key: self.key });
        let actions = self.front.handle(Event::Finished { key: self.key });
        assert!(!actions.iter().any(is_release), "{actions:?}");
        assert_eq!(self.front.dispatcher.open_requests(), 0);
    }
}

/// The routes of [`common::table`], each changed by `change`.
fn table_with(version: u64, change: impl Fn(Route) -> Route) -> std::sync::Arc<RouteTable> {
    let table = common::table(version);
    let routes =
        [LONG, SHORT].map(|path| table.find(HOST, path).expect("a route").as_ref().clone());
    let routes: Vec<_> = routes.into_iter().map(change).collect();
    let table = RouteTable::new(version, routes, common::services(), ClientLimits::default());
    std::sync::Arc::new(table.expect("routes differ"))
}

fn sent(actions: &[Action]) -> Option<SendDecision> {
    actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.as_ref().clone()),
        _ => None,
    })
}

fn is_decode(decision: &SendDecision) -> bool {
    matches!(decision.task, Task::Decode { .. })
}

const fn is_release(action: &Action) -> bool {
    matches!(action, Action::ReleaseKvCache { .. })
}

fn refusal(actions: &[Action]) -> Option<Reason> {
    actions.iter().find_map(|it| match it {
        Action::Refuse { reason, .. } => Some(*reason),
        _ => None,
    })
}

/// Plays a new configuration while a prompt is prefilled, and checks that the request goes on as it was accepted.
fn goes_on_under(table: std::sync::Arc<RouteTable>) {
    let mut half_done = HalfDone::new(SHORT);
    let deadline = half_done.front.dispatcher.deadline(half_done.key);
    half_done.front.handle(Event::Configured(table));
    let decode = sent(&half_done.prefilled()).expect("the request goes on");
    assert!(is_decode(&decode), "{decode:?}");
    assert_eq!(Some(decode.deadline), deadline);
    half_done.finish();
}

/// Guards against requests that are lost because a configuration removes their route while their prompt is prefilled.
#[test]
fn request_whose_route_is_removed_during_the_prefill_goes_on() {
    let routes = vec![common::route(
        "/other/",
        daisychute_dispatch::RequestKind::Idempotent,
        "feed",
        100,
        1,
    )];
    let table = RouteTable::new(3, routes, common::services(), ClientLimits::default());
    goes_on_under(std::sync::Arc::new(table.expect("one route")));
}

/// Guards against requests that are cut because a configuration shortens a timeout while their prompt is prefilled.
#[test]
fn request_whose_timeout_is_shortened_during_the_prefill_keeps_its_deadline() {
    goes_on_under(table_with(3, |it| Route { timeout: PREFILL_TIME / 2, ..it }));
}

/// Guards against requests that fail because a configuration removes their service while their prompt is prefilled.
#[test]
fn request_whose_service_is_removed_during_the_prefill_goes_on() {
    let routes = vec![common::route(
        "/other/",
        daisychute_dispatch::RequestKind::Idempotent,
        "feed",
        100,
        1,
    )];
    let services: Vec<_> =
        common::services().into_iter().filter(|it| it.engine.is_none()).collect();
    let table = RouteTable::new(3, routes, services, ClientLimits::default());
    goes_on_under(std::sync::Arc::new(table.expect("one route")));
}

/// Guards against outputs that are generated by an engine that drains since their prompt was sent.
#[test]
fn decode_goes_to_an_engine_that_takes_work() {
    let mut half_done = HalfDone::new(SHORT);
    let decoders = common::fleet().into_iter().filter(|it| it.stage == Some(Role::Decode));
    let (left, leaving): (Vec<_>, Vec<_>) =
        decoders.partition(|it| it.name == common::name("lm-7"));
    for (number, endpoint) in leaving.into_iter().enumerate() {
        let event = if number % 2 == 0 {
            Event::EndpointUpserted(Endpoint { draining: true, ..endpoint })
        } else {
            Event::EndpointRemoved { name: endpoint.name, removal: Removal::Left }
        };
        half_done.front.handle(event);
    }
    let decode = sent(&half_done.prefilled()).expect("one engine is left");
    assert!(is_decode(&decode), "{decode:?}");
    assert_eq!(decode.name, left[0].name);
    half_done.finish();
}

/// Guards against KV caches that stay at their engine, and requests without an answer, when no engine can decode.
#[test]
fn request_is_refused_if_every_engine_that_decodes_left() {
    let mut half_done = HalfDone::new(SHORT);
    for endpoint in common::fleet().into_iter().filter(|it| it.stage == Some(Role::Decode)) {
        let removal = Removal::Left;
        half_done.front.handle(Event::EndpointRemoved { name: endpoint.name, removal });
    }
    let actions = half_done.prefilled();
    assert_eq!(refusal(&actions), Some(Reason::NoEndpoint));
    assert!(actions.iter().any(is_release), "{actions:?}");
    assert_eq!(half_done.front.dispatcher.open_requests(), 0);
}

macro_rules! source_changes {
    ($($name:ident => $event:expr,)*) => {$(
        /// Guards against prompts that are prefilled twice, or lost, because their engine leaves in the meantime: it serves
        /// for some time after its notice.
        #[test]
        fn $name() {
            let mut half_done = HalfDone::new(SHORT);
            let name = half_done.prefill.name.clone();
            let endpoint = common::fleet().into_iter().find(|it| it.name == name).expect("its record");
            let event: fn(Endpoint) -> Event = $event;
            half_done.front.handle(event(endpoint));
            let decode = sent(&half_done.prefilled()).expect("the request goes on");
            assert!(is_decode(&decode), "{decode:?}");
            half_done.finish();
        }
    )*};
}

source_changes! {
    cache_of_an_engine_that_drains_is_fetched =>
        |it| Event::EndpointUpserted(Endpoint { draining: true, ..it }),
    cache_of_an_engine_that_left_is_fetched =>
        |it| Event::EndpointRemoved { name: it.name, removal: Removal::Left },
}

macro_rules! unsent_decodes {
    ($($name:ident: $delay_ms:literal => $decoded:literal,)*) => {$(
        /// Guards against attempts that are spent on a KV cache that its engine has dropped: a route may have only one.
        #[test]
        fn $name() {
            let mut half_done = HalfDone::new(SHORT);
            let actions = half_done.prefilled();
            assert!(sent(&actions).is_some_and(|it| is_decode(&it)), "{actions:?}");
            half_done.front.wait(Duration::from_millis($delay_ms));
            let actions = half_done.send_failed(SendFailure::Unsent);
            let retry = sent(&actions).expect("the request is retried");
            assert_eq!(is_decode(&retry), $decoded, "{retry:?}");
            // The engine may hold it a little longer.
            assert_eq!(actions.iter().any(is_release), !$decoded, "{actions:?}");
            half_done.finish();
        }
    )*};
}

unsent_decodes! {
    cache_is_fetched_while_it_is_held: 4_900 => true,
    cache_that_lapsed_is_not_fetched: 5_000 => false,
}

/// Guards against requests that are lost because an engine couldn't fetch their KV cache, though nothing ran.
#[test]
fn decode_refused_for_its_cache_is_retried_within_the_limit_and_refused_beyond_it() {
    let failure = SendFailure::NotRun { misdirected: false };
    let mut resumable = HalfDone::new(LONG);
    resumable.prefilled();
    let actions = resumable.send_failed(failure);
    assert_eq!(sent(&actions).map(|it| it.task), Some(Task::Run), "{actions:?}");
    resumable.finish();
    let mut once = HalfDone::new(SHORT);
    once.prefilled();
    let actions = once.send_failed(failure);
    assert_eq!(refusal(&actions), Some(Reason::Rejected));
    assert_eq!(once.front.dispatcher.open_requests(), 0);
}
