//! An endpoint that drains gets no new requests after three seconds.

use std::time::{Duration, Instant};

use daisychute_core::EndpointState;
use daisychute_testbed::{AgentNode, Deployment, DeploymentSpec, Load, TestbedError};
use serde_json::json;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 8;
/// Responses to wait for before the endpoint drains.
const RESPONSES: usize = 60;
/// How long an endpoint may still get requests after it was told to drain.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);
/// How long a stopping agent may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// One test for each way of draining an endpoint, with the platform up or down.
macro_rules! draining_endpoints {
    ($($name:ident => $platform_up:literal, $drain:expr;)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(async {
                let spec = DeploymentSpec::rabat_sale().engines(2).services(2).entries(2);
                let mut deployment = Deployment::start(spec).await?;
                let load = Load::start(&deployment, CLIENTS);
                load.wait_responses(RESPONSES).await?;
                if !$platform_up {
                    platform_outage(&deployment, true).await?;
                }
                let delays = $drain(&mut deployment, &load).await?;
                println!("{}: last new request after {delays:?}", stringify!($name));
                assert!(delays.iter().all(|it| *it <= MAX_DRAIN_DELAY), "{delays:?}");
                let report = load.finish(&deployment).await?;
                assert!(report.faults.is_empty(), "{:#?}", report.faults);
                Ok(())
            })
        }
    )*};
}

draining_endpoints! {
    agent_stops => true, stop_agents;
    agent_stops_in_an_outage => false, stop_agents;
    instance_is_listed_as_leaving => true, list_as_leaving;
    operator_drains => true, drain;
}

/// Indices of the drained agents: one of an engine, one of a service worker.
const DRAINED_AGENTS: [usize; 2] = [0, 2];

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}

async fn stop_agents(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<Vec<Duration>, TestbedError> {
    let mut delays = Vec::new();
    for index in DRAINED_AGENTS {
        deployment.agents_mut()[index].process().terminate()?;
        delays.push(last_request_time(&deployment.agents()[index], load).await?);
        deployment.agents_mut()[index].process().wait_exit(EXIT_TIMEOUT).await?;
    }
    Ok(delays)
}

async fn list_as_leaving(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<Vec<Duration>, TestbedError> {
    let mut delays = Vec::new();
    for index in DRAINED_AGENTS {
        let agent = &deployment.agents()[index];
        let mut record = agent.record().clone();
        record.state = EndpointState::Leaving;
        deployment.put_instance(&record).await?;
        delays.push(last_request_time(agent, load).await?);
    }
    Ok(delays)
}

async fn drain(deployment: &mut Deployment, load: &Load) -> Result<Vec<Duration>, TestbedError> {
    let mut delays = Vec::new();
    for index in DRAINED_AGENTS {
        let agent = &deployment.agents()[index];
        let drained = deployment.operator(["drain", agent.record().endpoint.as_str()]).await?;
        assert_eq!(drained.code, Some(0), "{}", drained.stderr);
        delays.push(last_request_time(agent, load).await?);
    }
    Ok(delays)
}

/// How long after this call the endpoint got its last new request. Clients continue until well after the bound.
async fn last_request_time(agent: &AgentNode, load: &Load) -> Result<Duration, TestbedError> {
    let start = Instant::now();
    let mut count = received_requests(agent).await?;
    let mut last = Duration::ZERO;
    while start.elapsed() < MAX_DRAIN_DELAY + MAX_DRAIN_DELAY / 3 {
        load.wait_responses(1).await?;
        let present = received_requests(agent).await?;
        if present > count {
            count = present;
            last = start.elapsed();
        }
    }
    Ok(last)
}

/// Number of requests that the endpoint has received.
async fn received_requests(agent: &AgentNode) -> Result<u64, TestbedError> {
    if agent.is_engine() {
        Ok(agent.engine_seen().await?.calls)
    } else {
        Ok(agent.service_seen().await?.calls)
    }
}
