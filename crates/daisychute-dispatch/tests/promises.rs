//! Guarantees of the dispatcher that must hold under any schedule of responses and failures.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use daisychute_core::{Role, SoftwareVersion, Time};
use daisychute_dispatch::{
    Action, DispatchSettings, Dispatcher, Endpoint, Event, PromptPart, Reason, Removal,
    RequestInfo, RequestKey, Resumption, SendFailure, Task,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::common::{HOST, LONG, ONCE, PANEL, SHORT};

/// Number of random schedules that are played.
const SCHEDULES: u64 = 20_000;
/// Retry budget: retries per request.
const RATIO: f64 = 0.2;
/// Retry budget: retries per window in addition to the ratio.
const SLACK: f64 = 5.0;

/// Number of software versions in the fleet.
const VERSIONS: usize = 3;
/// How long clients wait for a response, over all their attempts.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the endpoints of the tests, with software versions in turn.
fn fleet() -> Vec<Endpoint> {
    let versioned = |(index, it): (usize, Endpoint)| Endpoint {
        software_version: Some(format!("v{}", index % VERSIONS).try_into().expect("a valid name")),
        ..it
    };
    common::fleet().into_iter().enumerate().map(versioned).collect()
}

/// A stream of which a client has the first events.
#[derive(Debug, Clone)]
struct BegunStream {
    /// Id of the request that brought the first event.
    first_attempt: String,
    arrived: Time,
    version: SoftwareVersion,
}

/// What happens next: a new request arrives on one of four paths, or something happens to an open request.
#[derive(Debug, Clone, Copy)]
enum Change {
    Arrive(u8),
    Unsent,
    NotRun,
    Misdirected,
    NoAnswer,
    MidAnswer,
    ServerError,
    Prefilled,
    ResponseStarted,
    FirstOutput,
    Grow,
    EndBody,
    Finish,
    Disconnect,
    Expire,
}

/// One step of a schedule: what happens, to which open request, and how long after the previous step. It may also
/// drain or remove an endpoint, or an endpoint may announce that it is leaving or wants a pause.
#[derive(Debug, Clone, Copy)]
struct Step {
    request_index: u8,
    change: Change,
    delay_ms: u16,
    drain: Option<u8>,
    notice: Option<u8>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        use Change::*;
        let changes = [
            Arrive(0),
            Arrive(1),
            Arrive(2),
            Arrive(3),
            Arrive(0),
            Arrive(1),
            Unsent,
            NotRun,
            Misdirected,
            NoAnswer,
            MidAnswer,
            ServerError,
            Prefilled,
            Prefilled,
            ResponseStarted,
            FirstOutput,
            Grow,
            EndBody,
            Finish,
            Finish,
            Disconnect,
            Expire,
        ];
        let change = *g.choose(&changes).expect("there are changes");
        let drain = if u8::arbitrary(g) < 6 { Some(u8::arbitrary(g)) } else { None };
        let notice = if u8::arbitrary(g) < 20 { Some(u8::arbitrary(g)) } else { None };
        Self {
            request_index: u8::arbitrary(g),
            change,
            delay_ms: u16::arbitrary(g) % 400,
            drain,
            notice,
        }
    }
}

#[derive(Debug, Default)]
struct OpenRequest {
    /// Index of the route: `LONG`, `SHORT`, `ONCE`, `PANEL`.
    path: u8,
    sent: Option<Task>,
    counted_attempts: u32,
    may_have_run: bool,
    responding: bool,
    handle: bool,
    /// Version of the endpoint that has the request.
    sent_version: Option<SoftwareVersion>,
    /// The stream of which the client has events.
    stream: Option<BegunStream>,
}

/// Plays a schedule and checks every action of the dispatcher.
struct Checker {
    dispatcher: Dispatcher,
    now: Time,
    open: HashMap<u64, OpenRequest>,
    next: u64,
    drained: Vec<String>,
    // Endpoints that asked for a pause, with its end.
    pauses: Vec<(String, Time)>,
    // Times at which retries were sent.
    retries: Vec<Time>,
    arrivals: Vec<Time>,
    // Streams that were broken off and may be resumed.
    broken: Vec<BegunStream>,
    // KV caches that were prefilled and neither used nor freed yet.
    held_caches: i64,
    /// Requests that wait for news.
    waiting: Vec<RequestKey>,
}

impl Checker {
    fn new() -> Self {
        let settings = DispatchSettings {
            retry_ratio: RATIO,
            retry_slack: SLACK,
            ..DispatchSettings::default()
        };
        let mut checker = Self {
            dispatcher: Dispatcher::new(settings),
            now: Time::ZERO,
            open: HashMap::new(),
            next: 1,
            drained: Vec::new(),
            pauses: Vec::new(),
            retries: Vec::new(),
            arrivals: Vec::new(),
            broken: Vec::new(),
            held_caches: 0,
            waiting: Vec::new(),
        };
        checker.handle_event(Event::Configured(common::table(1)));
        for endpoint in fleet() {
            checker.handle_event(Event::EndpointUpserted(endpoint));
        }
        checker
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.dispatcher.handle(self.now, event, &mut actions);
        for action in actions {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { key, decision } => {
                let open = self.open.get_mut(&key.number()).expect("sends are for open requests");
                assert!(open.sent.is_none(), "two send attempts at once");
                let repeatable = open.path == 0 || open.path == 3;
                assert!(
                    repeatable || !open.may_have_run,
                    "a request that may have run is sent again"
                );
                let limit = if repeatable { 2 } else { 1 };
                assert!(open.counted_attempts < limit, "more send attempts than the route allows");
                assert!(
                    !self.drained.contains(&decision.name.to_string()),
                    "sent to a draining endpoint"
                );
                let is_paused =
                    |it: &(String, Time)| it.0 == decision.name.to_string() && self.now < it.1;
                assert!(!self.pauses.iter().any(is_paused), "sent to a paused endpoint");
                if open.counted_attempts > 0 {
                    self.retries.push(self.now);
                }
                if matches!(decision.task, Task::Decode { .. }) {
                    assert!(
                        open.handle,
                        "a KV cache is used that was not prefilled for the request"
                    );
                }
                let version = decision.software_version;
                if let (Some(stream), Task::Run | Task::Decode { .. }) =
                    (&open.stream, &decision.task)
                {
                    assert_eq!(version.as_ref(), Some(&stream.version), "a stream of two versions");
                }
                open.sent_version = version;
                open.sent = Some(decision.task);
            }
            Action::Refuse { key, reason, .. } => {
                let open = self.close(key.number()).expect("one final response");
                assert!(!open.may_have_run, "refused though it may have run");
                let runs = matches!(open.sent, Some(Task::Run | Task::Decode { .. }));
                assert!(!(runs && reason == Reason::Deadline), "refused while it may run");
            }
            Action::Fail { key, .. } | Action::RelayErrorResponse { key } => {
                self.close(key.number()).expect("one final response");
            }
            Action::AwaitNews { key, .. } => {
                let open = &self.open[&key.number()];
                assert!(open.sent.is_none(), "a request waits for news at an endpoint");
                self.waiting.push(key);
            }
            Action::ReleaseKvCache { .. } => self.held_caches -= 1,
            Action::AnnounceCachedPart { .. }
            | Action::AnnounceOrigin { .. }
            | Action::QueryCache { .. }
            | Action::AnnounceLeaving { .. }
            | Action::CheckLeaving { .. }
            | Action::RecordLeaving { .. }
            | Action::RecordPause { .. }
            | Action::RecordMisdirection { .. }
            | Action::RecordOversized { .. }
            | Action::AnnounceCrashNews { .. }
            | Action::RecordQuarantine { .. }
            | Action::RecordLimit { .. }
            | Action::AnnounceLimit { .. }
            | Action::RecordRelease { .. }
            | Action::SendHeartbeat
            | Action::RecordLatency { .. }
            | Action::RecordBegin { .. }
            | Action::RecordRetryDenied { .. }
            | Action::ReadVersionRecords
            | Action::RecordResumption { .. }
            | Action::CloseIdleConnections { .. } => {}
        }
    }

    /// Removes a request that ends, and keeps its stream for a client that resumes it.
    fn close(&mut self, number: u64) -> Option<OpenRequest> {
        let open = self.open.remove(&number)?;
        self.broken.extend(open.stream.clone().filter(|_| open.path == 0));
        Some(open)
    }

    /// Returns a stream that a new request resumes, for every third one.
    fn stream_to_resume(&mut self, number: u64, path: u8) -> Option<BegunStream> {
        if path != 0 || !number.is_multiple_of(3) {
            return None;
        }
        self.broken.pop().filter(|it| self.now.since(it.arrived) < CLIENT_TIMEOUT)
    }

    fn arrive(&mut self, path: u8) {
        let key = self.next;
        self.next += 1;
        let prefix = [LONG, SHORT, ONCE, PANEL][usize::from(path)];
        let mut info = RequestInfo::new(format!("{key}"), HOST, format!("{prefix}{key}"))
            .client_timeout(CLIENT_TIMEOUT);
        if path < 2 {
            let tokens = if path == 0 { 17_000 } else { 300 };
            let parts = vec![
                PromptPart { key: key % 5, tokens: tokens - 100 },
                PromptPart { key: 1_000 + key, tokens: 100 },
            ];
            info = info.prompt(daisychute_dispatch::Prompt { parts, tokens, max_output: 50 });
        }
        let stream = self.stream_to_resume(key, path);
        if let Some(stream) = &stream {
            let first_attempt = Some(stream.first_attempt.as_str().into());
            info = info.resumption(Resumption { first_attempt });
        }
        self.open.insert(key, OpenRequest { path, stream, ..OpenRequest::default() });
        self.arrivals.push(self.now);
        self.handle_event(Event::Arrived { key: RequestKey::new(key), request: info });
    }

    fn play(&mut self, step: Step) {
        self.now = self.now + Duration::from_millis(step.delay_ms.into());
        for key in std::mem::take(&mut self.waiting) {
            self.handle_event(Event::NewsAwaited { key });
        }
        if let Some(number) = step.drain {
            self.drain(number);
        }
        if let Some(number) = step.notice {
            self.announce(number);
        }
        if let Change::Arrive(path) = step.change {
            self.arrive(path);
            return;
        }
        let mut keys: Vec<_> = self.open.keys().copied().collect();
        keys.sort_unstable();
        if keys.is_empty() {
            return;
        }
        let number = keys[usize::from(step.request_index) % keys.len()];
        self.apply(number, step.change);
    }

    fn drain(&mut self, number: u8) {
        let fleet = fleet();
        let mut endpoint = fleet[usize::from(number) % fleet.len()].clone();
        let name = endpoint.name.clone();
        self.drained.push(name.to_string());
        if number.is_multiple_of(2) {
            endpoint.draining = true;
            self.handle_event(Event::EndpointUpserted(endpoint));
        } else {
            self.handle_event(Event::EndpointRemoved { name, removal: Removal::Left });
        }
    }

    /// Makes an endpoint announce that it is leaving, or that it wants a pause. Prefill engines don't pause: the KV caches
    /// that they hold wouldn't be freed.
    fn announce(&mut self, number: u8) {
        let mut fleet = common::fleet();
        let endpoint = fleet.swap_remove(usize::from(number) % fleet.len());
        let Some(key) = self.dispatcher.fleet().key(&endpoint.name) else { return };
        if number < 64 {
            self.drained.push(endpoint.name.to_string());
            self.handle_event(Event::LeavingAnnounced { endpoint: key });
        } else if endpoint.stage != Some(Role::Prefill) {
            let pause = Duration::from_millis(u64::from(number) * 10);
            self.pauses.push((endpoint.name.to_string(), self.now + pause));
            self.handle_event(Event::PauseRequested { endpoint: key, pause, spread: 0.0 });
        }
    }

    fn apply(&mut self, number: u64, change: Change) {
        let key = RequestKey::new(number);
        let open = self.open.get_mut(&number).expect("an open request");
        let Some(task) = open.sent.clone() else { return };
        let prefill_only = task == Task::Prefill;
        let failure = match change {
            Change::Unsent if !open.responding => SendFailure::Unsent,
            Change::NotRun if !open.responding => SendFailure::NotRun { misdirected: false },
            Change::Misdirected if !open.responding => SendFailure::NotRun { misdirected: true },
            Change::NoAnswer if !open.responding => SendFailure::NoAnswer,
            Change::MidAnswer if open.responding => SendFailure::MidAnswer { head_passed: true },
            Change::ServerError if !open.responding && !prefill_only => SendFailure::ServerError,
            _ => return self.apply_non_failure(number, change, &task),
        };
        open.sent = None;
        open.responding = false;
        if failure != SendFailure::Unsent {
            open.counted_attempts += 1;
            // The dispatcher frees it, since it isn't known whether it was fetched.
            open.handle = false;
        }
        let may_have_run = !matches!(failure, SendFailure::Unsent | SendFailure::NotRun { .. });
        open.may_have_run |= may_have_run && !prefill_only;
        self.handle_event(Event::SendFailed { key, failure });
    }

    fn apply_non_failure(&mut self, number: u64, change: Change, task: &Task) {
        let key = RequestKey::new(number);
        let open = self.open.get_mut(&number).expect("an open request");
        let prefill_only = *task == Task::Prefill;
        match change {
            Change::Prefilled if prefill_only => {
                open.sent = None;
                open.handle = true;
                self.held_caches += 1;
                self.handle_event(Event::Prefilled { key, handle: "h".into() });
            }
            Change::ResponseStarted if !prefill_only && !open.responding => {
                open.responding = true;
                open.may_have_run = true;
                if std::mem::take(&mut open.handle) {
                    self.held_caches -= 1;
                }
                self.handle_event(Event::ResponseStarted { key });
            }
            Change::FirstOutput if open.responding => {
                if let (0 | 1, None, Some(version)) = (open.path, &open.stream, &open.sent_version)
                {
                    open.stream = Some(BegunStream {
                        first_attempt: number.to_string(),
                        arrived: self.now,
                        version: version.clone(),
                    });
                }
                self.handle_event(Event::FirstOutput { key });
            }
            Change::Grow if open.responding => {
                self.handle_event(Event::ResponseGrew {
                    key,
                    bytes: 1024 * 1024,
                    waited: Duration::ZERO,
                });
            }
            Change::EndBody if open.responding => self.handle_event(Event::ResponseEnded { key }),
            Change::Finish if open.responding => {
                self.open.remove(&number);
                self.handle_event(Event::Finished { key });
            }
            Change::Disconnect => {
                self.close(number);
                self.handle_event(Event::ClientDisconnected { key });
            }
            Change::Expire => self.handle_event(Event::Expired { key }),
            _ => {}
        }
    }

    /// Checks that the retries of any ten seconds stay within the budget of the requests in the last twenty.
    fn check_budget(&self) {
        let window = Duration::from_secs(10);
        for last in &self.retries {
            let in_window = |it: &&Time| **it <= *last && last.since(**it) < window;
            let retries = self.retries.iter().filter(in_window).count() as f64;
            let in_two_windows = |it: &&Time| **it <= *last && last.since(**it) < window * 2;
            let requests = self.arrivals.iter().filter(in_two_windows).count() as f64;
            let limit = RATIO * requests + SLACK * 2.0;
            assert!(retries <= limit, "{retries} retries, {limit} allowed");
        }
    }

    fn finish(mut self) {
        let keys: Vec<_> = self.open.keys().copied().collect();
        for number in keys {
            self.open.remove(&number);
            self.handle_event(Event::ClientDisconnected { key: RequestKey::new(number) });
        }
        self.check_budget();
        assert_eq!(self.held_caches, 0, "every KV cache is used or freed");
        assert_eq!(self.dispatcher.open_requests(), 0);
        let remaining: u32 =
            self.dispatcher.fleet().own_load(self.now).map(|(_, it)| it.requests).sum();
        assert_eq!(remaining, 0, "requests are left in flight");
    }
}

#[test]
fn promises_hold_under_any_schedule() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut checker = Checker::new();
        for step in steps {
            checker.play(step);
        }
        checker.finish();
        true
    }
    QuickCheck::new().tests(SCHEDULES).quickcheck(holds as fn(Vec<Step>) -> bool);
}
