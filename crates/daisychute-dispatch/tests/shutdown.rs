//! Requests that arrive, or are in progress, while a front shuts down.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::Role;
use daisychute_dispatch::{
    Action, ClientLimits, Endpoint, Event, FrontPosition, PeerLoad, Prompt, PromptPart, Reason,
    RequestInfo, RequestKey, RequestKind, RouteTable, SendFailure, Task,
};

use crate::common::{Front, HOST, LONG, ONCE, PANEL, SHORT};

/// Time from the request to stop until responses in progress are cut.
const GRACE: Duration = Duration::from_millis(7_500);
/// How long clients wait for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the request to stop, in ms, at which requests are still accepted if they probably end in time; the client
/// timeout alone passes the end.
const NOTICED_MS: u64 = 2_600;
const NOTICED: Duration = Duration::from_millis(NOTICED_MS);

/// Maximum number of output tokens of a request, unless the test says otherwise.
const MAX_OUTPUT: u32 = 40;

/// What a front does with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Admission {
    Accepted(RequestKey),
    Stopping,
}

impl Front {
    /// Reports outputs in progress at every engine that generates, so that long prompts are prefilled elsewhere.
    fn report_outputs(&mut self) {
        let load = PeerLoad { requests: 9, ..PeerLoad::default() };
        let generates = |it: &Endpoint| it.stage == Some(Role::Decode);
        let loads = common::fleet().into_iter().filter(generates).map(|it| (it.name, load));
        self.handle(Event::PeerHeartbeat { peer: 1, loads: loads.collect(), parts: Vec::new() });
    }

    fn request_stop(&mut self) {
        self.handle(Event::ShutdownRequested { deadline: self.now + GRACE });
    }

    fn arrive(&mut self, path: &str) -> (RequestKey, Vec<Action>) {
        self.arrive_with(path, MAX_OUTPUT)
    }

    /// Plays the arrival of a request that asks for at most `max_output` tokens.
    fn arrive_with(&mut self, path: &str, max_output: u32) -> (RequestKey, Vec<Action>) {
        self.arrive_within(path, max_output, CLIENT_TIMEOUT)
    }

    /// Plays the arrival of a request that asks for at most `max_output` tokens, of a client that waits for
    /// `client_timeout`.
    fn arrive_within(
        &mut self,
        path: &str,
        max_output: u32,
        client_timeout: Duration,
    ) -> (RequestKey, Vec<Action>) {
        let key = self.next_key();
        let mut request = RequestInfo::new(format!("id-{}", key.number()), HOST, path);
        request.client_timeout = Some(client_timeout);
        request.prompt = match path {
            LONG => Some(prompt(key, 9_000, max_output)),
            SHORT => Some(prompt(key, 300, max_output)),
            _ => None,
        };
        (key, self.handle(Event::arrived(key, request)))
    }

    fn admit(&mut self, path: &str) -> Admission {
        let (key, actions) = self.arrive(path);
        if is_refused_for_shutdown(&actions) {
            Admission::Stopping
        } else {
            Admission::Accepted(key)
        }
    }

    /// Serves a request whose response ends after this time.
    fn serve(&mut self, path: &str, took: Duration) {
        let (key, actions) = self.arrive(path);
        if sent_task(&actions) == Some(Task::Prefill) {
            self.handle(Event::Prefilled { key, handle: "h".into() });
        } else {
            assert!(sent_task(&actions).is_some(), "{actions:?}");
        }
        self.run_to_the_end(key, took);
    }

    fn run_to_the_end(&mut self, key: RequestKey, took: Duration) -> Vec<Action> {
        self.handle(Event::ResponseStarted { key });
        self.handle(Event::FirstOutput { key });
        self.wait(took);
        self.handle(Event::Finished { key })
    }
}

/// Returns a prompt that shares no part with those of other requests.
fn prompt(key: RequestKey, tokens: u32, max_output: u32) -> Prompt {
    let part = |number, tokens| PromptPart { key: 2 * key.number() + number, tokens };
    Prompt { parts: vec![part(0, tokens - 200), part(1, 200)], tokens, max_output }
}

fn is_refused_for_shutdown(actions: &[Action]) -> bool {
    actions.iter().any(|it| matches!(it, Action::Refuse { reason: Reason::Stopping, .. }))
}

fn sent_task(actions: &[Action]) -> Option<Task> {
    actions.iter().find_map(|it| match it {
        Action::Send { decision, .. } => Some(decision.task.clone()),
        _ => None,
    })
}

/// Whether a front, whose streams of one route took `took`, accepts another one `after` the request to stop.
fn accepts(path: &str, took: Option<Duration>, after: Duration) -> bool {
    let mut front = Front::new(common::fleet());
    if let Some(time) = took {
        front.serve(path, time);
    }
    front.request_stop();
    front.wait(after);
    front.admit(path) != Admission::Stopping
}

macro_rules! admissions {
    ($($name:ident: $path:expr, $took_ms:expr, $after_ms:expr => $accepted:expr,)*) => {$(
        #[test]
        fn $name() {
            let took: Option<u64> = $took_ms;
            let accepted =
                accepts($path, took.map(Duration::from_millis), Duration::from_millis($after_ms));
            assert_eq!(accepted, $accepted);
        }
    )*};
}

admissions! {
    stream_that_fits_is_accepted: SHORT, Some(3_000), NOTICED_MS => true,
    stream_that_may_not_end_in_time_is_refused: SHORT, Some(4_000), NOTICED_MS => false,
    short_streams_are_accepted_for_a_while: SHORT, Some(200), NOTICED_MS => true,
    stream_of_unknown_length_needs_its_whole_timeout: SHORT, None, NOTICED_MS => false,
    stream_of_unknown_length_is_accepted_at_once: SHORT, None, 0 => true,
    short_calls_are_accepted_for_a_while: ONCE, Some(20), NOTICED_MS => true,
    call_of_unknown_length_needs_its_whole_timeout: ONCE, None, NOTICED_MS => false,
}

/// Whether a front whose responses on this route all took 20 ms accepts a request of a client that waits for
/// `client_timeout`, this long after the request to stop.
fn accepts_with_timeout(path: &str, client_timeout: Duration, after: Duration) -> bool {
    let mut front = Front::new(common::fleet());
    front.serve(path, Duration::from_millis(20));
    front.request_stop();
    front.wait(after);
    let (_, actions) = front.arrive_within(path, MAX_OUTPUT, client_timeout);
    !is_refused_for_shutdown(&actions)
}

macro_rules! late_admissions {
    ($($name:ident: $path:expr, $timeout_ms:expr, $after_ms:expr => $accepted:expr,)*) => {$(
        /// Guards against late requests that are cut at the end because they take longer than those before them.
        #[test]
        fn $name() {
            let timeout = Duration::from_millis($timeout_ms);
            let accepted = accepts_with_timeout($path, timeout, Duration::from_millis($after_ms));
            assert_eq!(accepted, $accepted);
        }
    )*};
}

late_admissions! {
    late_stream_whose_timeout_passes_the_end_is_refused: SHORT, 5_000, 3_120 => false,
    late_prompt_whose_timeout_passes_the_end_is_refused: LONG, 5_000, 3_120 => false,
    late_call_whose_timeout_passes_the_end_is_refused: ONCE, 5_000, 7_000 => false,
    late_repeatable_call_whose_timeout_passes_the_end_is_refused: PANEL, 1_000, 6_510 => false,
    late_stream_that_expires_before_the_end_is_accepted: SHORT, 1_000, 6_490 => true,
    late_prompt_that_expires_before_the_end_is_accepted: LONG, 4_000, 3_120 => true,
    late_call_that_expires_before_the_end_is_accepted: ONCE, 400, 7_000 => true,
}

#[test]
fn routes_are_judged_by_their_own_responses() {
    let mut front = Front::new(common::fleet());
    front.serve(LONG, Duration::from_secs(4));
    front.serve(SHORT, Duration::from_millis(300));
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(LONG), Admission::Stopping);
    assert_ne!(front.admit(SHORT), Admission::Stopping);
}

#[test]
fn streams_cut_by_their_clients_count_as_long_ones() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive(SHORT);
    front.handle(Event::ResponseStarted { key });
    front.handle(Event::FirstOutput { key });
    front.wait(Duration::from_secs(4));
    front.handle(Event::ClientDisconnected { key });
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(SHORT), Admission::Stopping);
}

#[test]
fn refusal_tells_the_client_to_return_at_once_and_frees_everything() {
    let mut front = Front::new(common::fleet());
    front.serve(SHORT, Duration::from_secs(4));
    front.request_stop();
    front.wait(Duration::from_secs(4));
    let (_, actions) = front.arrive(SHORT);
    let [Action::Refuse { reason: Reason::Stopping, retry_after: Some(delay), .. }] = &actions[..]
    else {
        panic!("{actions:?}")
    };
    assert!(*delay <= Duration::from_millis(100), "{delay:?}");
    assert_eq!(front.dispatcher.open_requests(), 0);
}

/// Plays a long prompt whose prefill and generation each take `stage`, with a request to stop at `stop_at`. Returns the
/// actions after it.
fn stop_in_the_middle(stop_at: Stage) -> Vec<Action> {
    let mut front = Front::new(common::fleet());
    front.serve(LONG, Duration::from_secs(4));
    front.report_outputs();
    let (key, actions) = front.arrive(LONG);
    assert_eq!(sent_task(&actions), Some(Task::Prefill));
    let mut seen = Vec::new();
    for stage in [Stage::Prefill, Stage::Transfer, Stage::Decode] {
        if stage == stop_at {
            front.request_stop();
        }
        // Longer than any response before.
        front.wait(Duration::from_secs(2));
        seen.extend(match stage {
            Stage::Prefill => front.handle(Event::Prefilled { key, handle: "h".into() }),
            Stage::Transfer => front.handle(Event::ResponseStarted { key }),
            Stage::Decode => front.run_to_the_end(key, Duration::from_millis(500)),
        });
    }
    assert_eq!(front.dispatcher.open_requests(), 0);
    seen
}

/// Stage of a request whose prompt is prefilled on another engine than its output is generated on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Prefill,
    Transfer,
    Decode,
}

macro_rules! stops_in_the_middle {
    ($($name:ident => $stage:expr,)*) => {$(
        #[test]
        fn $name() {
            let actions = stop_in_the_middle($stage);
            assert!(matches!(sent_task(&actions), Some(Task::Decode { .. })), "{actions:?}");
            assert!(!actions.iter().any(|it| matches!(it, Action::Refuse { .. })), "{actions:?}");
        }
    )*};
}

stops_in_the_middle! {
    request_is_completed_if_stopped_during_prefill => Stage::Prefill,
    request_is_completed_if_stopped_between_prefill_and_decode => Stage::Transfer,
    request_is_completed_if_stopped_during_decode => Stage::Decode,
}

#[test]
fn refused_attempt_is_not_repeated_too_late_for_the_shutdown() {
    let mut front = Front::new(common::fleet());
    front.serve(LONG, Duration::from_secs(3));
    front.request_stop();
    front.wait(NOTICED);
    let (key, actions) = front.arrive(LONG);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
    front.wait(Duration::from_millis(1_500));
    let failure = SendFailure::NotRun { misdirected: false };
    let actions = front.handle(Event::SendFailed { key, failure });
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
}

/// Plays the arrival of a long prompt `after` the request to stop, whose prefill takes `prefill`, at a front where runs
/// of its route took up to two seconds. Returns the actions after the prefill, or those of the arrival if it isn't sent.
fn prefill_after_stop(after: Duration, prefill: Duration) -> (Front, Vec<Action>) {
    let mut front = Front::new(common::fleet());
    front.serve(LONG, Duration::from_secs(2));
    front.request_stop();
    front.wait(after);
    front.report_outputs();
    let (key, actions) = front.arrive(LONG);
    if sent_task(&actions).is_none() {
        return (front, actions);
    }
    assert_eq!(sent_task(&actions), Some(Task::Prefill));
    front.wait(prefill);
    let actions = front.handle(Event::Prefilled { key, handle: "h".into() });
    (front, actions)
}

/// Guards against streams that are cut because their prompt was prefilled too late for the shutdown.
#[test]
fn request_prefilled_too_late_for_the_shutdown_is_refused() {
    let (front, actions) = prefill_after_stop(NOTICED, Duration::from_millis(2_530));
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
    assert!(actions.iter().any(|it| matches!(it, Action::ReleaseKvCache { .. })), "{actions:?}");
    assert_eq!(front.dispatcher.open_requests(), 0);
}

/// Guards against streams that are cut because they were accepted long after the request to stop: the times of two
/// requests that were.
#[test]
fn request_long_after_the_stop_is_refused_unless_it_surely_fits() {
    for (after_ms, prefill_ms) in [(3_940, 2_530), (3_332, 1_596)] {
        let prefill = Duration::from_millis(prefill_ms);
        let (front, actions) = prefill_after_stop(Duration::from_millis(after_ms), prefill);
        assert!(is_refused_for_shutdown(&actions), "{actions:?}");
        assert_eq!(front.dispatcher.open_requests(), 0);
    }
}

/// Guards against streams that are cut because they wait longer at their engine than the run itself takes.
#[test]
fn wait_at_the_engine_counts() {
    let mut front = Front::new(common::fleet());
    // Without the wait there is time for a run at the end of this test.
    let (key, actions) = front.arrive(SHORT);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
    front.handle(Event::ResponseStarted { key });
    front.wait(Duration::from_millis(3_800));
    front.handle(Event::FirstOutput { key });
    front.wait(Duration::from_millis(200));
    front.handle(Event::Finished { key });
    front.request_stop();
    front.wait(NOTICED);
    let (_, actions) = front.arrive(SHORT);
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
}

/// Guards against streams that are cut because they are longer than all recent ones of their route.
#[test]
fn request_is_judged_by_the_output_that_it_asks_for() {
    let mut front = Front::new(common::fleet());
    front.serve(SHORT, Duration::from_secs(1));
    front.request_stop();
    front.wait(NOTICED);
    let (_, actions) = front.arrive_with(SHORT, 5 * MAX_OUTPUT);
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
    let (_, actions) = front.arrive_with(SHORT, MAX_OUTPUT);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
}

/// Plays the end of the shutdown while a request is at an engine. Returns the actions.
fn shutdown_expires_during(path: &str, task: &Task) -> Vec<Action> {
    let mut front = Front::new(common::fleet());
    if *task == Task::Prefill {
        front.report_outputs();
    }
    let (key, actions) = front.arrive(path);
    assert_eq!(sent_task(&actions).as_ref(), Some(task));
    front.request_stop();
    front.wait(GRACE);
    let actions = front.handle(Event::ShutdownExpired { key });
    assert_eq!(front.dispatcher.open_requests(), 0);
    actions
}

/// Guards against clients that get no response at all when the process exits.
#[test]
fn request_that_may_run_fails_when_the_shutdown_expires() {
    let actions = shutdown_expires_during(SHORT, &Task::Run);
    assert!(matches!(actions[..], [Action::Fail { reason: Reason::Stopping, .. }]), "{actions:?}");
}

/// Guards against clients that aren't told that their request hasn't run when the process exits.
#[test]
fn request_in_prefill_is_refused_when_the_shutdown_expires() {
    let actions = shutdown_expires_during(LONG, &Task::Prefill);
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
}

/// Returns the retry delay of a request that one of ten fronts refuses while `stopping_peers` others shut down as well.
/// These are back a second after each other, the first of them in 300 ms.
fn retry_delay(stopping_peers: u64) -> Duration {
    let mut front = Front::new(common::fleet());
    front.serve(SHORT, Duration::from_secs(4));
    front.handle(Event::FrontsCounted(FrontPosition::new(10, 0)));
    front.request_stop();
    front.wait(Duration::from_secs(4));
    for peer in 0..stopping_peers {
        // A front needs half a second for its restart, so the first one has exited 200 ms ago.
        let exited_at = front.now + Duration::from_millis(peer * 1_000);
        front.handle(Event::PeerStopping { peer, exits_in: exited_at.since(front.now) });
    }
    front.wait(Duration::from_millis(200));
    let (_, actions) = front.arrive(SHORT);
    match actions[..] {
        [Action::Refuse { reason: Reason::Stopping, retry_after: Some(delay), .. }] => delay,
        _ => panic!("{actions:?}"),
    }
}

/// Guards against clients that use up their attempts on fronts that all shut down.
#[test]
fn clients_return_when_enough_fronts_are_back() {
    for few in [0, 4] {
        assert!(retry_delay(few) <= Duration::from_millis(50), "{few}: {:?}", retry_delay(few));
    }
    assert_eq!(retry_delay(5), Duration::from_millis(300));
    assert!(retry_delay(9) >= Duration::from_secs(1), "{:?}", retry_delay(9));
}

/// Guards against streams that are cut because their long prompt is prefilled by the engine that generates the output.
#[test]
fn prompt_of_a_short_output_counts() {
    let generates = |it: &Endpoint| it.stage == Some(Role::Decode);
    let mut front = Front::new(common::fleet().into_iter().filter(generates));
    let (key, actions) = front.arrive_with(SHORT, 400);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
    front.run_to_the_end(key, Duration::from_secs(1));
    front.request_stop();
    front.wait(NOTICED);
    for (tokens, fits) in [(9_000, true), (900_000, false)] {
        let key = front.next_key();
        let mut request = RequestInfo::new(format!("id-{}", key.number()), HOST, SHORT);
        request.client_timeout = Some(CLIENT_TIMEOUT);
        request.prompt = Some(prompt(key, tokens, 16));
        let actions = front.handle(Event::arrived(key, request));
        assert_eq!(is_refused_for_shutdown(&actions), !fits, "{tokens}: {actions:?}");
    }
}

/// Guards against streams that are cut because the only recent one of their route was left by its client at once.
#[test]
fn client_that_left_at_once_tells_nothing_about_its_route() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive(SHORT);
    front.wait(Duration::from_millis(20));
    front.handle(Event::ClientDisconnected { key });
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(SHORT), Admission::Stopping);
}

/// Guards against streams that are cut because the only recent one of their route expired after a short client timeout.
#[test]
fn short_client_timeout_tells_nothing_about_its_route() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive(SHORT);
    front.wait(Duration::from_millis(100));
    front.handle(Event::Expired { key });
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(SHORT), Admission::Stopping);
}

/// Guards against streams that are cut although others of their route that are still running took longer already.
#[test]
fn responses_in_progress_count() {
    let mut front = Front::new(common::fleet());
    front.serve(SHORT, Duration::from_millis(150));
    let (key, _) = front.arrive(SHORT);
    front.handle(Event::ResponseStarted { key });
    front.handle(Event::FirstOutput { key });
    front.wait(Duration::from_millis(1_500));
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(SHORT), Admission::Stopping);
}

/// Guards against requests that are sent again too late because part of a response that was never passed on came back.
#[test]
fn truncated_response_that_was_not_passed_on_is_not_repeated_too_late() {
    let mut front = Front::new(common::fleet());
    front.serve(PANEL, Duration::from_secs(1));
    front.request_stop();
    front.wait(NOTICED);
    let (key, actions) = front.arrive(PANEL);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
    front.wait(Duration::from_millis(4_000));
    front.handle(Event::ResponseStarted { key });
    let failure = SendFailure::MidAnswer { head_passed: false };
    let actions = front.handle(Event::SendFailed { key, failure });
    assert_eq!(sent_task(&actions), None, "{actions:?}");
}

/// Guards against endpoints' error responses that are replaced by the front's own.
#[test]
fn error_response_is_relayed_if_there_is_no_time_for_another_attempt() {
    let mut front = Front::new(common::fleet());
    front.serve(PANEL, Duration::from_secs(1));
    front.request_stop();
    front.wait(NOTICED);
    let (key, actions) = front.arrive(PANEL);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
    front.wait(Duration::from_millis(4_000));
    let actions = front.handle(Event::SendFailed { key, failure: SendFailure::ServerError });
    assert!(matches!(actions[..], [Action::RelayErrorResponse { .. }]), "{actions:?}");
}

/// Guards against streams that are cut because their route has just been moved to a slower service.
#[test]
fn times_of_another_service_do_not_count() {
    let mut front = Front::new(common::fleet());
    front.serve(PANEL, Duration::from_millis(20));
    let routes = vec![common::route(PANEL, RequestKind::Idempotent, "lm", 100, 2)];
    let table = RouteTable::new(2, routes, common::services(), ClientLimits::default());
    front.handle(Event::Configured(Arc::new(table.expect("one route"))));
    front.request_stop();
    front.wait(NOTICED);
    assert_eq!(front.admit(PANEL), Admission::Stopping);
}

/// Guards against streams that are cut because the recent ones of their route ended long before their limit.
#[test]
fn output_that_ended_early_is_no_measure() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive_with(SHORT, 1_000);
    front.run_to_the_end(key, Duration::from_millis(60));
    front.request_stop();
    front.wait(NOTICED);
    let (_, actions) = front.arrive_with(SHORT, 1_000);
    assert!(is_refused_for_shutdown(&actions), "{actions:?}");
}

/// Guards against needless refusals at once after the request to stop: the time to the first output isn't per token.
#[test]
fn time_to_the_first_output_is_not_multiplied() {
    let mut front = Front::new(common::fleet());
    for (max_output, took_ms) in [(16, 500), (400, 1_000)] {
        let (key, _) = front.arrive_with(SHORT, max_output);
        front.handle(Event::ResponseStarted { key });
        front.wait(Duration::from_millis(450));
        front.handle(Event::FirstOutput { key });
        front.wait(Duration::from_millis(took_ms - 450));
        front.handle(Event::Finished { key });
    }
    front.request_stop();
    front.wait(NOTICED);
    let (_, actions) = front.arrive_with(SHORT, 400);
    assert!(sent_task(&actions).is_some(), "{actions:?}");
}

/// Guards against whole streams that are cut at the exit of a front that waits for a sign of their endpoint.
#[test]
fn end_of_a_stream_is_held_for_half_of_the_time_until_the_exit() {
    let mut front = Front::new(common::fleet());
    let (key, _) = front.arrive(SHORT);
    let hold = |front: &Front| front.dispatcher.end_hold(front.now, key, true);
    assert_eq!(hold(&front), Duration::from_millis(1_500));
    front.request_stop();
    front.wait(GRACE - Duration::from_millis(800));
    assert_eq!(hold(&front), Duration::from_millis(400));
}
