//! Stops whose requests last longer than `[timing] drain`: what runs may be cut, what hasn't begun is refused as not run
//! or moved to another agent.

use std::collections::BTreeMap;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use daisychute_core::EndpointKind;
use daisychute_standin::harness::{Client, wait_for};
use daisychute_testbed::{AgentNode, Deployment, DeploymentSpec, TestbedError};
use futures_util::future::join_all;
use serde_json::{Value, json};

/// Settings with a drain that is shorter than [`SERVICE_TIME_ARG`].
const TIMING: &str = "[timing]\ndrain = 1s";
/// Duration of each call at the service.
const SERVICE_TIME_ARG: &str = "--service-ms=3000";
/// Number of calls that an agent runs concurrently.
const RUNNING: usize = 16;
/// Number of calls beyond those that run, which wait in the queue of an agent.
const QUEUED: usize = 4;
/// How long a stopping process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the calls may take to reach an agent.
const START_TIMEOUT: Duration = Duration::from_secs(2);

/// What the client of a call was told.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    Complete,
    /// Refused; nothing of it ran.
    NotRun,
    /// It may have run, by the response or because there was none.
    Unknown(String),
}

/// Sends this many calls that may run at most once to the only entry, each with its own key.
fn start_calls(deployment: &Deployment, calls: usize) -> JoinHandle<Vec<(String, Outcome)>> {
    let is_service = |it: &&AgentNode| !it.is_engine();
    let agent = deployment.agents().iter().find(is_service).expect("there is a service");
    let EndpointKind::Service(service) = &agent.record().kind else { unreachable!() };
    let (client, path) = (deployment.entry(0).client(), format!("/services/{service}/counts"));
    let call = move |it| call(client.clone(), path.clone(), format!("call-{it}"));
    actix_rt::spawn(join_all((0..calls).map(call)))
}

async fn call(client: Client, path: String, key: String) -> (String, Outcome) {
    let client = client.header("Idempotency-Key", &key);
    let outcome = match client.post(&path, &json!({ "call": key })).await {
        Ok(it) if it.status.is_success() => Outcome::Complete,
        Ok(it) => match it.json::<Value>() {
            Ok(body) if body["error"]["outcome"] == "not_run" => Outcome::NotRun,
            _ => Outcome::Unknown(it.text()),
        },
        Err(error) => Outcome::Unknown(error.to_string()),
    };
    (key, outcome)
}

/// Number of requests that run or are queued at each agent of a service, with its index.
async fn loads(deployment: &Deployment) -> Option<Vec<(usize, usize)>> {
    let mut loads = Vec::new();
    for (index, agent) in deployment.agents().iter().enumerate().filter(|it| !it.1.is_engine()) {
        let in_flight = agent.status().await.ok()?.in_flight;
        loads.push((usize::try_from(in_flight).ok()?, index));
    }
    Some(loads)
}

/// Waits until all calls have reached an agent, and returns the index of the agent with most of them: more than it runs.
async fn wait_queued(deployment: &Deployment, calls: usize) -> Result<usize, TestbedError> {
    let all_arrived = async || {
        let loads = loads(deployment).await?;
        let arrived: usize = loads.iter().map(|it| it.0).sum();
        loads.into_iter().max().map(|it| it.1).filter(|_| arrived == calls)
    };
    Ok(wait_for("all calls have reached an agent", START_TIMEOUT, all_arrived).await?)
}

/// Checks each outcome against the number of times that the services ran the call, and returns how many calls have it.
async fn check(
    deployment: &Deployment,
    outcomes: Vec<(String, Outcome)>,
) -> Result<BTreeMap<&'static str, usize>, TestbedError> {
    let mut runs = BTreeMap::<String, u64>::new();
    for agent in deployment.agents().iter().filter(|it| !it.is_engine()) {
        for (key, count) in agent.service_seen().await?.by_key {
            *runs.entry(key).or_default() += count;
        }
    }
    let mut counts = BTreeMap::new();
    let mut faults = Vec::new();
    for (key, outcome) in outcomes {
        let runs = runs.get(&key).copied().unwrap_or_default();
        let (name, expected_runs) = match outcome {
            Outcome::Complete => ("complete", 1),
            Outcome::NotRun => ("not run", 0),
            Outcome::Unknown(_) => ("unknown", 1),
        };
        *counts.entry(name).or_default() += 1;
        if runs != expected_runs {
            faults.push(format!("{key} ran {runs} times: {outcome:?}"));
        }
    }
    println!("{counts:?}");
    assert!(faults.is_empty(), "{faults:#?}");
    Ok(counts)
}

/// Stops a process while at least one service worker runs as many calls as it can and others are queued there.
async fn stop_under_load(
    services: usize,
    stop: impl AsyncFnOnce(&mut Deployment, usize) -> Result<(), TestbedError>,
) -> Result<BTreeMap<&'static str, usize>, TestbedError> {
    let spec = DeploymentSpec::rabat_sale().engines(1).services(services).entries(1);
    let spec = spec.service_arg(SERVICE_TIME_ARG).daemon_sections(TIMING);
    let mut deployment = Deployment::start(spec).await?;
    let count = services * (RUNNING + QUEUED);
    let calls = start_calls(&deployment, count);
    let busiest = wait_queued(&deployment, count).await?;
    stop(&mut deployment, busiest).await?;
    let outcomes = calls.await.expect("the calls are not aborted");
    check(&deployment, outcomes).await
}

async fn stop_agent(deployment: &mut Deployment, index: usize) -> Result<(), TestbedError> {
    let process = deployment.agents_mut()[index].process();
    process.terminate()?;
    process.wait_exit(EXIT_TIMEOUT).await?;
    Ok(())
}

async fn stop_entry(deployment: &mut Deployment, _: usize) -> Result<(), TestbedError> {
    let process = deployment.entry_mut(0).process();
    process.terminate()?;
    process.wait_exit(EXIT_TIMEOUT).await?;
    Ok(())
}

/// Guards against calls that waited in the queue of a stopping agent and are reported as if they might have run.
#[test]
fn calls_queued_at_a_stopping_agent_are_refused_as_not_run() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let counts = stop_under_load(1, stop_agent).await?;
        assert_eq!(counts.get("not run"), Some(&QUEUED));
        Ok(())
    })
}

/// Guards against calls that a stopping agent keeps in its queue although another agent could run them.
#[test]
fn calls_queued_at_a_stopping_agent_move_to_another_agent() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let counts = stop_under_load(2, stop_agent).await?;
        assert_eq!(counts.get("complete"), Some(&(RUNNING + 2 * QUEUED)), "{counts:?}");
        Ok(())
    })
}

/// Guards against calls that waited at an agent when their entry ended and are reported as if they might have run.
#[test]
fn calls_queued_for_a_stopping_entry_are_refused_as_not_run() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let counts = stop_under_load(1, stop_entry).await?;
        assert_eq!(counts.get("not run"), Some(&QUEUED));
        Ok(())
    })
}
