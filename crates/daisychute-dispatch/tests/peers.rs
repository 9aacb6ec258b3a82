//! What peers tell of their load, and engines of what they keep.

mod common;

use std::time::Duration;

use daisychute_core::{Role, Time};
use daisychute_dispatch::{
    Action, Backlog, DispatchSettings, Dispatcher, Endpoint, EndpointKey, Event, PeerLoad, Prompt,
    PromptPart, RequestInfo, RequestKey, Task,
};

use crate::common::{HOST, LONG, PANEL, fleet, name, table};

fn front() -> Dispatcher {
    let mut front = Dispatcher::new(DispatchSettings::default());
    let mut none = Vec::new();
    front.handle(Time::ZERO, Event::Configured(table(1)), &mut none);
    for endpoint in fleet() {
        front.handle(Time::ZERO, Event::EndpointUpserted(endpoint), &mut none);
    }
    front
}

fn tell(front: &mut Dispatcher, peer: u64, loads: &[(&str, u32)]) {
    let load = |requests| PeerLoad { requests, ..PeerLoad::default() };
    let loads = loads.iter().map(|(it, requests)| (name(it), load(*requests))).collect();
    front.handle(
        Time::ZERO,
        Event::PeerHeartbeat { peer, loads, parts: Vec::new() },
        &mut Vec::new(),
    );
}

/// Where the next small call goes.
fn place(front: &mut Dispatcher, number: u64) -> String {
    let mut actions = Vec::new();
    let key = RequestKey::new(number);
    let request = RequestInfo::new(format!("{number}"), HOST, PANEL);
    front.handle(Time::ZERO, Event::Arrived { key, request }, &mut actions);
    front.handle(Time::ZERO, Event::ClientDisconnected { key }, &mut Vec::new());
    let sent = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.name.to_string()),
        _ => None,
    });
    sent.expect("a send")
}

#[test]
fn endpoints_that_peers_keep_busy_are_left_to_them() {
    let mut front = front();
    tell(&mut front, 1, &[("feed-0", 9), ("feed-1", 9)]);
    tell(&mut front, 2, &[("feed-2", 9)]);
    assert!((0..20).all(|it| place(&mut front, it) == "feed-3"));
}

#[test]
fn a_peer_that_tells_anew_takes_back_what_it_told() {
    let mut front = front();
    tell(&mut front, 1, &[("feed-0", 9), ("feed-1", 9), ("feed-2", 9)]);
    tell(&mut front, 1, &[("feed-3", 9)]);
    assert!((0..20).all(|it| place(&mut front, it) != "feed-3"));
}

/// The shared part of the long prompt; another 500 tokens are its own.
const SHARED: PromptPart = PromptPart { key: 1, tokens: 2_000 };

/// A long prompt arrives.
fn arrive(front: &mut Dispatcher) -> Vec<Action> {
    let mut request = RequestInfo::new("1", HOST, LONG);
    let parts = vec![SHARED, PromptPart { key: 2, tokens: 500 }];
    request.prompt = Some(Prompt { parts, tokens: 2_500, max_output: 100 });
    let mut actions = Vec::new();
    front.handle(Time::ZERO, Event::Arrived { key: RequestKey::new(1), request }, &mut actions);
    actions
}

/// What becomes of a long prompt where three peers tell this of every engine of a stage.
fn place_behind(load: PeerLoad, stages: &[Role]) -> Vec<Action> {
    let mut front = front();
    for peer in 1..4 {
        let engines = fleet().into_iter();
        let engines = engines.filter(|it| it.stage.is_some_and(|stage| stages.contains(&stage)));
        let loads = engines.map(|it| (it.name, load)).collect();
        front.handle(
            Time::ZERO,
            Event::PeerHeartbeat { peer, loads, parts: Vec::new() },
            &mut Vec::new(),
        );
    }
    arrive(&mut front)
}

/// The wait that is predicted for it where all engines are as busy.
fn wait_behind(load: PeerLoad) -> Duration {
    let actions = place_behind(load, &[Role::Prefill, Role::Decode]);
    let wait = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.wait),
        Action::Refuse { wait, .. } => Some(*wait),
        _ => None,
    });
    wait.expect("a send or a refusal")
}

#[test]
fn what_an_engine_has_read_is_taken_off_once_and_not_for_each_front() {
    let pending_prefill = Backlog::of(1, Duration::from_millis(120));
    let oldest_pending = Duration::from_millis(100);
    let load = PeerLoad { requests: 1, pending_prefill, oldest_pending, tokens: 2_500 };
    let wait = wait_behind(load);
    assert!(wait >= Duration::from_millis(3 * 120 - 100), "predicted wait: {wait:?}");
    assert!(wait < Duration::from_millis(3 * 120), "predicted wait: {wait:?}");
}

#[test]
fn prompts_of_less_urgent_routes_are_not_waited_for_at_engines_that_generate() {
    let told = |rank| PeerLoad {
        requests: 1,
        pending_prefill: Backlog::of(rank, Duration::from_millis(100)),
        ..PeerLoad::default()
    };
    assert!(wait_behind(told(1)) >= Duration::from_millis(300));
    assert!(wait_behind(told(2)) < Duration::from_millis(150));
}

/// Whether a long prompt is read by an engine that only reads while each of those has so much to read before.
fn is_read_apart_behind(ms: u64) -> bool {
    let pending_prefill = Backlog::of(1, Duration::from_millis(ms / 3));
    let load = PeerLoad { requests: 1, pending_prefill, ..PeerLoad::default() };
    let actions = place_behind(load, &[Role::Prefill]);
    actions
        .iter()
        .any(|it| matches!(it, Action::Send { decision, .. } if decision.task == Task::Prefill))
}

#[test]
fn long_prompts_wait_a_little_rather_than_disturb_the_outputs_of_others() {
    assert!(is_read_apart_behind(0));
    assert!(is_read_apart_behind(135));
    assert!(!is_read_apart_behind(300));
}

/// Lists an engine. Returns the key under which it is asked what it keeps.
fn list(front: &mut Dispatcher, endpoint: Endpoint) -> Option<EndpointKey> {
    let mut actions = Vec::new();
    front.handle(Time::ZERO, Event::EndpointUpserted(endpoint), &mut actions);
    actions.into_iter().find_map(|it| match it {
        Action::QueryCache { endpoint, .. } => Some(endpoint),
        _ => None,
    })
}

/// The tokens that an engine must read of a prompt whose shared part it said to keep, before it started again or after.
fn unread_of_a_kept_prompt(before: bool) -> u32 {
    let mut front = Dispatcher::new(DispatchSettings::default());
    front.handle(Time::ZERO, Event::Configured(table(1)), &mut Vec::new());
    let engine = fleet().into_iter().find(|it| it.stage == Some(Role::Decode)).expect("one");
    let old = list(&mut front, engine.clone()).expect("it is asked");
    assert_eq!(list(&mut front, engine.clone()), None, "it is asked once");
    let new =
        list(&mut front, Endpoint { started_at: Some(2), ..engine }).expect("it is asked anew");
    let endpoint = if before { old } else { new };
    let kept = Event::CacheReported { endpoint, parts: vec![SHARED] };
    front.handle(Time::ZERO, kept, &mut Vec::new());
    let actions = arrive(&mut front);
    let uncached = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.uncached_tokens),
        _ => None,
    });
    uncached.expect("a send")
}

#[test]
fn what_an_engine_kept_before_it_started_again_does_not_count() {
    assert_eq!(unread_of_a_kept_prompt(false), 500);
    assert_eq!(unread_of_a_kept_prompt(true), 2_500);
}
