//! Long prompts at engines that generate, where gaps between events have an objective.
//!
//! Pattern: prompts of thousands of tokens arrive while decode engines run streams, and prefill engines have some work
//! waiting. A prefill beside streams makes gaps of all of them too long.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Role;
use daisychute_dispatch::{
    Action, Backlog, ClientLimits, Event, PeerLoad, Prompt, PromptPart, RequestInfo, Route,
    RouteTable, Task,
};

use crate::common::{Front, HOST, LONG};

/// Uncached tokens of a prompt whose prefill takes about 230 ms on an engine that generates, and half of it on another.
const LONG_TOKENS: u32 = 6_000;
const SHORT_TOKENS: u32 = 300;

/// Returns the routes with this objective for gaps.
fn table(pause: Option<Duration>) -> Arc<RouteTable> {
    let table = common::table(2);
    let routes = table.routes().cloned().map(|it| Route { pause, ..it });
    let services = table.services().cloned().collect::<Vec<_>>();
    let table = RouteTable::new(2, routes, services, ClientLimits::default());
    Arc::new(table.expect("routes differ"))
}

/// Task of a prompt while each decode engine runs `streams` and each prefill engine has work waiting; `None` if it is
/// refused.
fn task(pause_ms: Option<u64>, streams: u32, waiting_ms: u64, tokens: u32) -> Option<Task> {
    let mut front = Front::new(common::fleet());
    front.handle(Event::Configured(table(pause_ms.map(Duration::from_millis))));
    let load = |stage| match stage {
        Role::Prefill => {
            let pending_prefill = Backlog::of(1, Duration::from_millis(waiting_ms));
            PeerLoad { requests: 1, pending_prefill, ..PeerLoad::default() }
        }
        _ => PeerLoad { requests: streams, ..PeerLoad::default() },
    };
    let engines = common::fleet().into_iter();
    let loads = engines.filter_map(|it| Some((it.name, load(it.stage?)))).collect();
    front.handle(Event::PeerHeartbeat { peer: 1, loads, parts: Vec::new() });
    let key = front.next_key();
    let prompt = Prompt { parts: vec![PromptPart { key: 7, tokens }], tokens, max_output: 20 };
    let request = RequestInfo::new("the id", HOST, LONG).prompt(prompt);
    let actions = front.handle(Event::arrived(key, request));
    actions.into_iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.task),
        _ => None,
    })
}

macro_rules! tasks {
    ($($name:ident: $pause_ms:expr, $streams:expr, $waiting_ms:expr, $tokens:expr => $task:expr,)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(task($pause_ms, $streams, $waiting_ms, $tokens), $task);
        }
    )*};
}

tasks! {
    long_prompt_stays_off_streams: Some(150), 1, 300, LONG_TOKENS => Some(Task::Prefill),
    without_an_objective_the_sooner_engine_is_taken: None, 1, 300, LONG_TOKENS => Some(Task::Run),
    engine_without_streams_is_taken: Some(150), 0, 300, LONG_TOKENS => Some(Task::Run),
    loose_objective_changes_nothing: Some(3_000), 1, 300, LONG_TOKENS => Some(Task::Run),
    short_prompt_fits_into_a_gap: Some(150), 4, 300, SHORT_TOKENS => Some(Task::Run),
    // The prefill engines can't be in time: the prompt isn't refused for the sake of gaps.
    prompt_is_not_refused_for_gaps: Some(150), 1, 5_000, LONG_TOKENS => Some(Task::Run),
}
