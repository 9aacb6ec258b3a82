//! Effects of heartbeats from peers and of cache reports from engines.

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
    let mut actions = Vec::new();
    front.handle(Time::ZERO, Event::Configured(table(1)), &mut actions);
    for endpoint in fleet() {
        front.handle(Time::ZERO, Event::EndpointUpserted(endpoint), &mut actions);
    }
    front
}

fn receive_heartbeat(front: &mut Dispatcher, peer: u64, loads: &[(&str, u32)]) {
    let load = |requests| PeerLoad { requests, ..PeerLoad::default() };
    let loads = loads.iter().map(|(it, requests)| (name(it), load(*requests))).collect();
    front.handle(
        Time::ZERO,
        Event::PeerHeartbeat { peer, loads, parts: Vec::new() },
        &mut Vec::new(),
    );
}

/// Returns the name of the endpoint that the next small call is sent to.
fn send_target(front: &mut Dispatcher, number: u64) -> String {
    let mut actions = Vec::new();
    let key = RequestKey::new(number);
    let request = RequestInfo::new(format!("{number}"), HOST, PANEL);
    front.handle(Time::ZERO, Event::Arrived { key, request }, &mut actions);
    front.handle(Time::ZERO, Event::ClientDisconnected { key }, &mut Vec::new());
    let sent = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.name.to_string()),
        _ => None,
    });
    sent.expect("a send attempt")
}

#[test]
fn endpoints_that_peers_keep_busy_are_avoided() {
    let mut front = front();
    receive_heartbeat(&mut front, 1, &[("feed-0", 9), ("feed-1", 9)]);
    receive_heartbeat(&mut front, 2, &[("feed-2", 9)]);
    assert!((0..20).all(|it| send_target(&mut front, it) == "feed-3"));
}

#[test]
fn a_heartbeat_replaces_the_load_of_the_previous_one() {
    let mut front = front();
    receive_heartbeat(&mut front, 1, &[("feed-0", 9), ("feed-1", 9), ("feed-2", 9)]);
    receive_heartbeat(&mut front, 1, &[("feed-3", 9)]);
    assert!((0..20).all(|it| send_target(&mut front, it) != "feed-3"));
}

/// Shared part of the long prompt, which has 500 tokens more.
const SHARED: PromptPart = PromptPart { key: 1, tokens: 2_000 };

/// Returns the actions that follow the arrival of a long prompt.
fn arrive(front: &mut Dispatcher) -> Vec<Action> {
    let mut request = RequestInfo::new("1", HOST, LONG);
    let parts = vec![SHARED, PromptPart { key: 2, tokens: 500 }];
    request.prompt = Some(Prompt { parts, tokens: 2_500, max_output: 100 });
    let mut actions = Vec::new();
    front.handle(Time::ZERO, Event::Arrived { key: RequestKey::new(1), request }, &mut actions);
    actions
}

/// Returns the actions for a long prompt if three peers report these loads at every engine, by its stage.
fn arrive_behind(prefill: PeerLoad, decode: PeerLoad) -> Vec<Action> {
    let mut front = front();
    for peer in 1..4 {
        let load = |it: Endpoint| match it.stage? {
            Role::Prefill => Some((it.name, prefill)),
            _ => Some((it.name, decode)),
        };
        let loads = fleet().into_iter().filter_map(load).collect();
        front.handle(
            Time::ZERO,
            Event::PeerHeartbeat { peer, loads, parts: Vec::new() },
            &mut Vec::new(),
        );
    }
    arrive(&mut front)
}

/// Returns the predicted wait of a long prompt if three peers report this load at every engine.
fn predicted_wait(load: PeerLoad) -> Duration {
    let actions = arrive_behind(load, load);
    let wait = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.wait),
        Action::Refuse { wait, .. } => Some(*wait),
        _ => None,
    });
    wait.expect("a send attempt or a refusal")
}

#[test]
fn finished_prefill_is_deducted_once_and_not_per_front() {
    let pending_prefill = Backlog::of(1, Duration::from_millis(120));
    let oldest_pending = Duration::from_millis(100);
    let load = PeerLoad { requests: 1, pending_prefill, oldest_pending, tokens: 2_500 };
    let wait = predicted_wait(load);
    assert!(wait >= Duration::from_millis(3 * 120 - 100), "predicted wait: {wait:?}");
    assert!(wait < Duration::from_millis(3 * 120), "predicted wait: {wait:?}");
}

#[test]
fn less_urgent_prompts_are_not_waited_for_at_mixed_engines() {
    let load = |priority| PeerLoad {
        requests: 1,
        pending_prefill: Backlog::of(priority, Duration::from_millis(100)),
        ..PeerLoad::default()
    };
    assert!(predicted_wait(load(1)) >= Duration::from_millis(300));
    assert!(predicted_wait(load(2)) < Duration::from_millis(150));
}

/// Whether a long prompt goes to a dedicated prefill engine while each of those has a backlog of `ms`, and each engine
/// that generates has this many outputs in progress.
fn is_disaggregated_behind(ms: u64, outputs: u32) -> bool {
    let pending_prefill = Backlog::of(1, Duration::from_millis(ms / 3));
    let prefill = PeerLoad { requests: 1, pending_prefill, ..PeerLoad::default() };
    let decode = PeerLoad { requests: outputs / 3, ..PeerLoad::default() };
    let actions = arrive_behind(prefill, decode);
    actions
        .iter()
        .any(|it| matches!(it, Action::Send { decision, .. } if decision.task == Task::Prefill))
}

#[test]
fn long_prompts_wait_a_little_rather_than_delay_other_outputs() {
    assert!(is_disaggregated_behind(0, 9));
    assert!(is_disaggregated_behind(135, 9));
    assert!(!is_disaggregated_behind(300, 9));
}

#[test]
fn long_prompts_do_not_wait_if_there_are_no_outputs_to_delay() {
    assert!(is_disaggregated_behind(0, 0));
    assert!(!is_disaggregated_behind(135, 0));
}

/// Upserts an engine's directory record. Returns its key if the dispatcher queries its cached parts.
fn upsert(front: &mut Dispatcher, endpoint: Endpoint) -> Option<EndpointKey> {
    let mut actions = Vec::new();
    front.handle(Time::ZERO, Event::EndpointUpserted(endpoint), &mut actions);
    actions.into_iter().find_map(|it| match it {
        Action::QueryCache { endpoint, .. } => Some(endpoint),
        _ => None,
    })
}

/// Returns the uncached tokens of a prompt whose shared part an engine reported as cached, either before or after the
/// engine restarted.
fn uncached_tokens_after_report(before_restart: bool) -> u32 {
    let mut front = Dispatcher::new(DispatchSettings::default());
    front.handle(Time::ZERO, Event::Configured(table(1)), &mut Vec::new());
    let engine =
        fleet().into_iter().find(|it| it.stage == Some(Role::Decode)).expect("a decode engine");
    let old = upsert(&mut front, engine.clone()).expect("its cache is queried");
    assert_eq!(upsert(&mut front, engine.clone()), None, "its cache is queried once");
    let new = upsert(&mut front, Endpoint { started_at: Some(2), ..engine })
        .expect("its cache is queried again");
    let endpoint = if before_restart { old } else { new };
    let report = Event::CacheReported { endpoint, parts: vec![SHARED] };
    front.handle(Time::ZERO, report, &mut Vec::new());
    let actions = arrive(&mut front);
    let uncached = actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.uncached_tokens),
        _ => None,
    });
    uncached.expect("a send attempt")
}

#[test]
fn cache_reports_of_an_earlier_incarnation_are_ignored() {
    assert_eq!(uncached_tokens_after_report(false), 500);
    assert_eq!(uncached_tokens_after_report(true), 2_500);
}
