//! Requests of client accounts are counted once each, when they begin to run: usage is billed by these counts.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{TenantName, Time};
use daisychute_dispatch::{
    Account, Accounts, Action, Credentials, Event, KeyHash, Prompt, PromptPart, RequestInfo,
    RequestKey, Route, RouteTable, SendFailure, Task,
};

use crate::common::{Front, HOST, LONG, ONCE, PANEL, SHORT};

const KEY: &str = "a key of the tenant";
/// Time between two events of a request.
const STEP: Duration = Duration::from_millis(10);

#[derive(Clone, Copy)]
enum Step {
    Head,
    Output,
    Failed(SendFailure),
    Finished,
    Left,
}

use Step::{Failed, Finished, Head, Left, Output};

fn at(steps: u64) -> Time {
    Time::from_millis(10 * steps)
}

fn table(has_accounts: bool, public: bool) -> Arc<RouteTable> {
    let table = common::unshared_table(2);
    let routes = table.routes().cloned().map(|it| Route { public, ..it });
    let services = table.services().cloned();
    let table = RouteTable::new(2, routes, services, *table.limits()).expect("routes differ");
    let name = TenantName::try_from("acme").expect("a valid name");
    let keys = vec![KeyHash::of(KEY.as_bytes())];
    let accounts = Accounts::try_from(vec![Account { name, keys, priority: None }]);
    Arc::new(table.with_accounts(has_accounts.then(|| accounts.expect("keys differ"))))
}

/// Plays a request that is sent at the first step, and returns when it was counted as begun.
fn begins(
    table: Arc<RouteTable>,
    credentials: Credentials,
    path: &str,
    steps: &[Step],
) -> Vec<Time> {
    let mut front = Front::new(common::fleet());
    front.handle(Event::Configured(table));
    let key = front.next_key();
    let parts = vec![PromptPart { key: 1, tokens: 9_000 }];
    let prompt =
        [LONG, SHORT].contains(&path).then_some(Prompt { parts, tokens: 12_000, max_output: 100 });
    let request = RequestInfo::new("id", HOST, path).credentials(credentials);
    let request = prompt.into_iter().fold(request, RequestInfo::prompt);
    let mut begins = Vec::new();
    let arrived = Event::arrived(key, request);
    let prefills = play(&mut front, arrived, &mut begins);
    if prefills {
        assert!(!play(&mut front, Event::Prefilled { key, handle: "h".into() }, &mut begins));
    }
    for &step in steps {
        front.wait(STEP);
        let again = play(&mut front, event(key, step), &mut begins);
        assert!(!again, "a prompt is prefilled once");
    }
    begins
}

fn event(key: RequestKey, step: Step) -> Event {
    match step {
        Head => Event::ResponseStarted { key },
        Output => Event::FirstOutput { key },
        Failed(failure) => Event::SendFailed { key, failure },
        Finished => Event::Finished { key },
        Left => Event::ClientDisconnected { key },
    }
}

/// Handles an event and returns whether a prefill was sent.
fn play(front: &mut Front, event: Event, begins: &mut Vec<Time>) -> bool {
    let mut prefills = false;
    for action in front.handle(event) {
        match action {
            Action::RecordBegin { tenant, began_at } => {
                assert_eq!(tenant.as_str(), "acme");
                begins.push(began_at);
            }
            Action::Send { decision, .. } => prefills |= decision.task == Task::Prefill,
            _ => {}
        }
    }
    prefills
}

fn of_tenant(path: &str, steps: &[Step]) -> Vec<Time> {
    begins(table(true, false), Credentials::Key(KeyHash::of(KEY.as_bytes())), path, steps)
}

const MID: SendFailure = SendFailure::MidAnswer { head_passed: false };
const MID_PASSED: SendFailure = SendFailure::MidAnswer { head_passed: true };

macro_rules! begins {
    ($($name:ident: $path:expr, [$($step:expr),*] => [$($at:expr),*];)*) => {$(
        #[test]
        fn $name() {
            let expected: [u64; _] = [$($at),*];
            assert_eq!(of_tenant($path, &[$($step),*]), expected.map(at));
        }
    )*};
}

begins! {
    stream_begins_with_its_first_output: SHORT, [Head, Output, Finished] => [2];
    stream_after_a_prefill_counts_once: LONG, [Head, Output, Finished] => [2];
    prefill_alone_is_not_counted: LONG, [] => [];
    stream_that_goes_on_elsewhere_counts_once: LONG, [Head, Output, Failed(MID_PASSED), Head, Output] => [2];
    stream_without_output_is_not_counted: LONG, [Head, Failed(MID), Left] => [];
    stream_that_fails_before_its_output_is_not_counted: SHORT, [Failed(SendFailure::ServerError)] => [];
    plain_request_begins_when_it_is_sent: PANEL, [Head, Finished] => [0];
    plain_request_that_is_repeated_unrun_begins_with_the_attempt_that_ran:
        PANEL, [Failed(SendFailure::Unsent), Head, Finished] => [1];
    plain_request_that_failed_in_the_endpoint_counts: ONCE, [Failed(SendFailure::ServerError)] => [0];
    plain_request_that_failed_in_its_response_counts: ONCE, [Failed(MID)] => [0];
    plain_request_that_runs_twice_counts_once: PANEL, [Failed(SendFailure::ServerError), Head, Finished] => [0];
    plain_request_cut_in_its_response_counts_once: PANEL, [Head, Failed(MID_PASSED)] => [0];
    plain_request_without_response_is_not_counted: ONCE, [Failed(SendFailure::NoAnswer)] => [];
    plain_request_whose_client_left_is_not_counted: PANEL, [Left] => [];
}

#[test]
fn request_without_account_is_not_counted() {
    let played = |table, credentials| begins(table, credentials, PANEL, &[Head]);
    assert_eq!(played(table(false, false), Credentials::Missing), []);
    assert_eq!(played(table(true, true), Credentials::Missing), []);
    let key = Credentials::Key(KeyHash::of(KEY.as_bytes()));
    assert_eq!(played(table(true, true), key), [at(0)]);
}
