//! An endpoint that is leaving gets no new work after three seconds.

use std::time::{Duration, Instant};

use daisychute_core::EndpointState;
use daisychute_testbed::{AgentNode, Deployment, Load, Plan, TestbedError};
use serde_json::json;

/// Callers, each with one request at a time.
const CALLERS: usize = 8;
/// Answers before the endpoint leaves, and after it got its last work.
const ANSWERS: usize = 60;
/// How long after the word of leaving an endpoint may still get work.
const BOUND: Duration = Duration::from_secs(3);
/// How long the daemon may take to notice an outage, or that it is over.
const NOTICE: Duration = Duration::from_secs(10);

/// One test for each way in which an endpoint leaves. The endpoints with these indices leave.
macro_rules! leaving_endpoints {
    ($($name:ident => $platform_up:literal, $leave:expr;)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(async {
                let plan = Plan::rabat_sale().engines(2).services(2).entries(2);
                let mut deployment = Deployment::start(plan).await?;
                let load = Load::start(&deployment, CALLERS);
                load.wait_responses(ANSWERS).await?;
                if !$platform_up {
                    platform_outage(&deployment, true).await?;
                }
                let spans = $leave(&mut deployment, &load).await?;
                println!("{}: last new work after {spans:?}", stringify!($name));
                assert!(spans.iter().all(|it| *it <= BOUND), "{spans:?}");
                let report = load.finish(&deployment).await?;
                assert!(report.faults.is_empty(), "{:#?}", report.faults);
                Ok(())
            })
        }
    )*};
}

leaving_endpoints! {
    agent_stops => true, stop_agents;
    agent_stops_in_an_outage => false, stop_agents;
    instance_is_listed_as_leaving => true, list_as_leaving;
    operator_drains => true, drain;
}

/// An engine and a service worker.
const LEAVING: [usize; 2] = [0, 2];

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}

async fn stop_agents(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<Vec<Duration>, TestbedError> {
    let mut spans = Vec::new();
    for index in LEAVING {
        deployment.agents_mut()[index].process().terminate()?;
        spans.push(last_work(&deployment.agents()[index], load).await?);
        deployment.agents_mut()[index].process().wait_exit(NOTICE).await?;
    }
    Ok(spans)
}

async fn list_as_leaving(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<Vec<Duration>, TestbedError> {
    let mut spans = Vec::new();
    for index in LEAVING {
        let agent = &deployment.agents()[index];
        let mut record = agent.record().clone();
        record.state = EndpointState::Leaving;
        deployment.put_instance(&record).await?;
        spans.push(last_work(agent, load).await?);
    }
    Ok(spans)
}

async fn drain(deployment: &mut Deployment, load: &Load) -> Result<Vec<Duration>, TestbedError> {
    let mut spans = Vec::new();
    for index in LEAVING {
        let agent = &deployment.agents()[index];
        let drained = deployment.operator(["drain", agent.record().endpoint.as_str()]).await?;
        assert_eq!(drained.code, Some(0), "{}", drained.stderr);
        spans.push(last_work(agent, load).await?);
    }
    Ok(spans)
}

/// How long after this call the endpoint got its last work. Callers go on until well after the bound.
async fn last_work(agent: &AgentNode, load: &Load) -> Result<Duration, TestbedError> {
    let start = Instant::now();
    let mut count = started(agent).await?;
    let mut last = Duration::ZERO;
    while start.elapsed() < BOUND + BOUND / 3 {
        load.wait_responses(1).await?;
        let present = started(agent).await?;
        if present > count {
            count = present;
            last = start.elapsed();
        }
    }
    Ok(last)
}

/// Requests that the endpoint has begun.
async fn started(agent: &AgentNode) -> Result<u64, TestbedError> {
    if agent.is_engine() {
        Ok(agent.engine_seen().await?.calls)
    } else {
        Ok(agent.service_seen().await?.calls)
    }
}
