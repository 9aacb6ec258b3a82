//! A preview says what the dispatcher then does, and changes nothing.

mod common;

use std::time::Duration;

use daisychute_core::Role;
use daisychute_dispatch::{
    Action, Backlog, Endpoint, Event, HeldBack, PeerLoad, PreviewDecision, Prompt, PromptPart,
    RequestInfo, Resumption,
};

use crate::common::{Front, HOST, LONG, ONCE, PANEL, SHORT};

fn request(path: &str, prompt_tokens: u32) -> RequestInfo {
    let request = RequestInfo::new("the id", HOST, path).client_timeout(Duration::from_secs(2));
    if prompt_tokens == 0 {
        return request;
    }
    let parts = vec![PromptPart { key: 7, tokens: prompt_tokens }];
    request.prompt(Prompt { parts, tokens: prompt_tokens, max_output: 20 })
}

impl Front {
    /// A peer reports that each engine has this much to prefill.
    fn load_engines(&mut self, ms: u64) {
        let pending_prefill = Backlog::of(0, Duration::from_millis(ms));
        let load = PeerLoad { requests: 3, pending_prefill, ..PeerLoad::default() };
        let engines = common::fleet().into_iter().filter(|it| it.stage.is_some());
        let loads = engines.map(|it| (it.name, load)).collect();
        self.handle(Event::PeerHeartbeat { peer: 1, loads, parts: Vec::new() });
    }
}

/// What the dispatcher really does with a request.
fn decided(front: &mut Front, request: RequestInfo) -> PreviewDecision {
    let key = front.next_key();
    let now = front.now;
    let actions = front.handle(Event::arrived(key, request));
    let ms = |it: Duration| u64::try_from(it.as_millis()).expect("a short time");
    let first = actions.into_iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(PreviewDecision::Send {
            endpoint: decision.name.clone(),
            task: decision.task.as_str().into(),
            cost_ms: ms(decision.cost),
            wait_ms: ms(decision.wait),
            uncached_tokens: decision.uncached_tokens,
            deadline_ms: ms(decision.deadline.since(now)),
            priority: decision.priority,
        }),
        Action::AwaitNews { until, .. } => {
            Some(PreviewDecision::Wait { limit_ms: ms(until.since(now)) })
        }
        Action::Refuse { reason, retry_after, .. } => Some(PreviewDecision::Refuse {
            reason: reason.as_str().into(),
            retry_after_ms: retry_after.map(ms),
        }),
        Action::Fail { reason, .. } => {
            Some(PreviewDecision::Fail { reason: reason.as_str().into() })
        }
        _ => None,
    });
    first.expect("a decision")
}

/// Asks, then sends, and compares; the preview must leave the dispatcher as it was.
fn assert_same(mut front: Front, request: RequestInfo) {
    let before = format!("{:?}", front.dispatcher);
    let preview = front.dispatcher.preview(front.now, request.clone());
    assert_eq!(format!("{:?}", front.dispatcher), before);
    assert_eq!(preview.decision, decided(&mut front, request));
}

macro_rules! same {
    ($($name:ident: $front:expr, $request:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_same($front, $request);
        }
    )*};
}

fn front() -> Front {
    Front::new(common::fleet())
}

fn loaded(ms: u64) -> Front {
    let mut front = front();
    front.load_engines(ms);
    front
}

fn resumed() -> RequestInfo {
    request(LONG, 17_000).resumption(Resumption { first_attempt: None })
}

same! {
    long_prompt: front(), request(LONG, 17_000);
    short_prompt_at_busy_engines: loaded(100), request(SHORT, 383);
    short_prompt_refused_for_overload: loaded(2_000), request(SHORT, 383);
    read: front(), request(PANEL, 0);
    call_that_must_run_once: front(), request(ONCE, 0);
    request_without_route: front(), request("/unknown/", 0);
    request_without_endpoint: Front::new([]), request(PANEL, 0);
    resumed_stream_of_unknown_origin: front(), resumed();
}

#[test]
fn endpoints_are_listed_with_what_holds_them_back() {
    let draining = |it: &Endpoint| it.name.as_str() == "feed-1";
    let fleet = common::fleet().into_iter();
    let fleet = fleet.map(|it| Endpoint { draining: draining(&it), ..it });
    let front = Front::new(fleet);
    let preview = front.dispatcher.preview(front.now, request(PANEL, 0));
    let held_back: Vec<_> = preview.endpoints.iter().map(|it| it.held_back).collect();
    assert_eq!(held_back, [None, None, None, Some(HeldBack::Draining)]);
    assert_eq!(preview.endpoints[3].endpoint.as_str(), "feed-1");
}

#[test]
fn predictions_are_made_for_the_stage_of_each_engine() {
    let preview = loaded(100).dispatcher.preview(loaded(100).now, request(LONG, 17_000));
    let stages: Vec<_> = preview.endpoints.iter().filter_map(|it| it.stage).collect();
    assert_eq!(stages.iter().filter(|it| **it == Role::Prefill).count(), 4);
    assert!(preview.endpoints.iter().all(|it| it.requests == (0, 3) && it.predicted_ms > 0.0));
    assert!(preview.endpoints.is_sorted_by(|a, b| a.predicted_ms <= b.predicted_ms));
}
