//! What must hold under any schedule of answers and failures.

mod common;

use std::collections::HashMap;
use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{
    Action, DispatchSettings, Dispatcher, Event, PromptPart, Reason, Removal, RequestInfo,
    RequestKey, SendFailure, Task,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::common::{HOST, LONG, ONCE, PANEL, SHORT};

/// Schedules that CI plays.
const SCHEDULES: u64 = 20_000;
const RATIO: f64 = 0.2;
const SLACK: f64 = 5.0;

/// What happens to a request next.
#[derive(Debug, Clone, Copy)]
enum Turn {
    Arrive(u8),
    Unsent,
    NotRun,
    Misdirected,
    NoAnswer,
    MidAnswer,
    ServerError,
    Prefilled,
    Answering,
    First,
    Finish,
    Leave,
    Expire,
}

/// One step of a schedule: which of the open requests, what happens, and how long after the step before.
#[derive(Debug, Clone, Copy)]
struct Step {
    pick: u8,
    turn: Turn,
    after_ms: u16,
    drain: Option<u8>,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        use Turn::*;
        let turns = [
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
            Answering,
            First,
            Finish,
            Finish,
            Leave,
            Expire,
        ];
        let turn = *g.choose(&turns).expect("there are turns");
        let drain = if u8::arbitrary(g) < 6 { Some(u8::arbitrary(g)) } else { None };
        Self { pick: u8::arbitrary(g), turn, after_ms: u16::arbitrary(g) % 400, drain }
    }
}

#[derive(Debug, Default)]
struct Open {
    path: u8,
    sent: Option<Task>,
    counted: u32,
    may_have_run: bool,
    answering: bool,
    handle: bool,
}

/// Plays a schedule and checks every action.
struct Check {
    dispatcher: Dispatcher,
    now: Time,
    open: HashMap<u64, Open>,
    next: u64,
    drained: Vec<String>,
    extras: Vec<Time>,
    arrivals: Vec<Time>,
    handles: i64,
}

impl Check {
    fn new() -> Self {
        let settings = DispatchSettings {
            retry_ratio: RATIO,
            retry_slack: SLACK,
            ..DispatchSettings::default()
        };
        let mut check = Self {
            dispatcher: Dispatcher::new(settings),
            now: Time::ZERO,
            open: HashMap::new(),
            next: 1,
            drained: Vec::new(),
            extras: Vec::new(),
            arrivals: Vec::new(),
            handles: 0,
        };
        check.tell(Event::Configured(common::table(1)));
        for endpoint in common::fleet() {
            check.tell(Event::EndpointUpserted(endpoint));
        }
        check
    }

    fn tell(&mut self, event: Event) {
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
                assert!(open.sent.is_none(), "two sends at once");
                let repeatable = open.path == 0 || open.path == 3;
                assert!(
                    repeatable || !open.may_have_run,
                    "a request that may have run is sent again"
                );
                let most = if repeatable { 2 } else { 1 };
                assert!(open.counted < most, "more sends than the route allows");
                assert!(
                    !self.drained.contains(&decision.name.to_string()),
                    "sent to a leaving endpoint"
                );
                if open.counted > 0 {
                    self.extras.push(self.now);
                }
                if matches!(decision.task, Task::Decode { .. }) {
                    assert!(open.handle, "a KV cache is used that was not made for the request");
                }
                open.sent = Some(decision.task);
            }
            Action::Refuse { key, reason, .. } => {
                let open = self.open.remove(&key.number()).expect("one final answer");
                assert!(!open.may_have_run, "refused though it may have run");
                let runs = matches!(open.sent, Some(Task::Run | Task::Decode { .. }));
                assert!(!(runs && reason == Reason::Deadline), "refused while it may run");
            }
            Action::Fail { key, .. } | Action::RelayErrorResponse { key } => {
                self.open.remove(&key.number()).expect("one final answer");
            }
            Action::ReleaseKvCache { .. } => self.handles -= 1,
            Action::AnnounceCachedPart { .. }
            | Action::QueryCache { .. }
            | Action::SendHeartbeat
            | Action::RecordLatency { .. }
            | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn arrive(&mut self, path: u8) {
        let key = self.next;
        self.next += 1;
        let prefix = [LONG, SHORT, ONCE, PANEL][usize::from(path)];
        let mut info = RequestInfo::new(format!("{key}"), HOST, format!("{prefix}{key}"))
            .client_timeout(Duration::from_secs(3));
        if path < 2 {
            let tokens = if path == 0 { 17_000 } else { 300 };
            let parts = vec![
                PromptPart { key: key % 5, tokens: tokens - 100 },
                PromptPart { key: 1_000 + key, tokens: 100 },
            ];
            info = info.prompt(daisychute_dispatch::Prompt { parts, tokens, max_output: 50 });
        }
        self.open.insert(key, Open { path, ..Open::default() });
        self.arrivals.push(self.now);
        self.tell(Event::Arrived { key: RequestKey::new(key), request: info });
    }

    fn step(&mut self, step: Step) {
        self.now = self.now + Duration::from_millis(step.after_ms.into());
        if let Some(number) = step.drain {
            self.drain(number);
        }
        if let Turn::Arrive(path) = step.turn {
            self.arrive(path);
            return;
        }
        let mut keys: Vec<_> = self.open.keys().copied().collect();
        keys.sort_unstable();
        if keys.is_empty() {
            return;
        }
        let number = keys[usize::from(step.pick) % keys.len()];
        self.turn(number, step.turn);
    }

    fn drain(&mut self, number: u8) {
        let fleet = common::fleet();
        let mut endpoint = fleet[usize::from(number) % fleet.len()].clone();
        let name = endpoint.name.clone();
        self.drained.push(name.to_string());
        if number.is_multiple_of(2) {
            endpoint.draining = true;
            self.tell(Event::EndpointUpserted(endpoint));
        } else {
            self.tell(Event::EndpointRemoved { name, removal: Removal::Left });
        }
    }

    fn turn(&mut self, number: u64, turn: Turn) {
        let key = RequestKey::new(number);
        let open = self.open.get_mut(&number).expect("picked from the open ones");
        let Some(task) = open.sent.clone() else { return };
        let prompt_only = task == Task::Prefill;
        let failure = match turn {
            Turn::Unsent if !open.answering => SendFailure::Unsent,
            Turn::NotRun if !open.answering => SendFailure::NotRun { misdirected: false },
            Turn::Misdirected if !open.answering => SendFailure::NotRun { misdirected: true },
            Turn::NoAnswer if !open.answering => SendFailure::NoAnswer,
            Turn::MidAnswer if open.answering => SendFailure::MidAnswer { head_passed: true },
            Turn::ServerError if !open.answering && !prompt_only => SendFailure::ServerError,
            _ => return self.other(number, turn, &task),
        };
        open.sent = None;
        open.answering = false;
        if failure != SendFailure::Unsent {
            open.counted += 1;
            // It is freed, since it may or may not have been fetched.
            open.handle = false;
        }
        let ran = !matches!(failure, SendFailure::Unsent | SendFailure::NotRun { .. });
        open.may_have_run |= ran && !prompt_only;
        self.tell(Event::SendFailed { key, failure });
    }

    fn other(&mut self, number: u64, turn: Turn, task: &Task) {
        let key = RequestKey::new(number);
        let open = self.open.get_mut(&number).expect("picked from the open ones");
        let prompt_only = *task == Task::Prefill;
        match turn {
            Turn::Prefilled if prompt_only => {
                open.sent = None;
                open.handle = true;
                self.handles += 1;
                self.tell(Event::Prefilled { key, handle: "h".into() });
            }
            Turn::Answering if !prompt_only && !open.answering => {
                open.answering = true;
                open.may_have_run = true;
                if std::mem::take(&mut open.handle) {
                    self.handles -= 1;
                }
                self.tell(Event::ResponseStarted { key });
            }
            Turn::First if open.answering => self.tell(Event::FirstOutput { key }),
            Turn::Finish if open.answering => {
                self.open.remove(&number);
                self.tell(Event::Finished { key });
            }
            Turn::Leave => {
                self.open.remove(&number);
                self.tell(Event::ClientDisconnected { key });
            }
            Turn::Expire => self.tell(Event::Expired { key }),
            _ => {}
        }
    }

    /// Extra sends in any ten seconds stay within the budget of the requests of that time and the time before.
    fn check_budget(&self) {
        let window = Duration::from_secs(10);
        for last in &self.extras {
            let since = |it: &&Time| **it <= *last && last.since(**it) < window;
            let extras = self.extras.iter().filter(since).count() as f64;
            let before = |it: &&Time| **it <= *last && last.since(**it) < window * 2;
            let requests = self.arrivals.iter().filter(before).count() as f64;
            let most = RATIO * requests + SLACK * 2.0;
            assert!(extras <= most, "{extras} extra sends, {most} allowed");
        }
    }

    fn finish(mut self) {
        let keys: Vec<_> = self.open.keys().copied().collect();
        for number in keys {
            self.open.remove(&number);
            self.tell(Event::ClientDisconnected { key: RequestKey::new(number) });
        }
        self.check_budget();
        assert_eq!(self.handles, 0, "every KV cache is used or freed");
        assert_eq!(self.dispatcher.open_requests(), 0);
        let left: u32 = self.dispatcher.fleet().own_load(self.now).map(|(_, it)| it.requests).sum();
        assert_eq!(left, 0, "work is left behind");
    }
}

#[test]
fn promises_hold_under_any_schedule() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut check = Check::new();
        for step in steps {
            check.step(step);
        }
        check.finish();
        true
    }
    QuickCheck::new().tests(SCHEDULES).quickcheck(holds as fn(Vec<Step>) -> bool);
}
