//! The agents of a data centre become unresponsive, and the platform is down while every process restarts. Losses are
//! printed; no response is wrong, no request runs twice, and a request refused as "not run" has not run.

use std::time::Duration;

use daisychute_standin::harness::wait_for;
use daisychute_standin::platform::Seen;
use daisychute_testbed::{Deployment, DeploymentSpec, Fault, Load, TestbedError};
use serde_json::json;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 8;
/// Responses to wait for before, during and after the fault.
const RESPONSES: usize = 100;
/// Indices of the agents in the unresponsive data centre: one of an engine, one of a service worker.
const UNRESPONSIVE_AGENTS: [usize; 2] = [0, 4];
/// How long the fleet may take until all restarted processes run.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// How many seconds the calls to the platform are counted after it is back.
const COUNTED_SECONDS: u32 = 5;
/// Maximum calls to the platform per process, in any counted second.
const MAX_CALLS_PER_PROCESS: u64 = 10;

#[test]
fn data_centre_falls_silent() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let spec = DeploymentSpec::rabat_sale().engines(4).services(4).entries(2);
        let mut deployment = Deployment::start(spec.service_arg("--service-ms=50")).await?;
        let load = Load::start(&deployment, CLIENTS);
        load.wait_responses(RESPONSES).await?;
        for index in UNRESPONSIVE_AGENTS {
            deployment.agents_mut()[index].process().pause()?;
        }
        load.wait_responses(RESPONSES).await?;
        for index in UNRESPONSIVE_AGENTS {
            deployment.agents_mut()[index].process().resume()?;
        }
        deployment.wait_ready().await?;
        load.wait_responses(RESPONSES).await?;
        let report = load.finish(&deployment).await?;
        println!(
            "one of four data centres unresponsive: {} whole, {} not run, {} uncertain, {} cut, over {:?}; longest response {:?}",
            report.whole,
            report.not_run,
            report.count(Fault::Uncertain),
            report.count(Fault::Cut),
            report.disturbance(),
            report.longest,
        );
        for fault in [Fault::Wrong, Fault::Doubled, Fault::Missing, Fault::FalseNotRun] {
            assert_eq!(report.count(fault), 0, "{fault:?}: {:#?}", report.faults);
        }
        Ok(())
    })
}

#[test]
fn everything_restarts_in_an_outage() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let spec =
            DeploymentSpec::rabat_sale().engines(4).services(26).entries(10).shared_standins();
        let mut deployment = Deployment::start(spec.log_level("warn")).await?;
        platform_outage(&deployment, true).await?;
        deployment.restart_all().await?;
        wait_for("every process runs", RECOVERY_TIMEOUT, async || {
            deployment.statuses().await.iter().all(Option::is_some).then_some(())
        })
        .await?;
        let processes = deployment.statuses().await.len();
        let mut before = platform_calls(&deployment).await?;
        platform_outage(&deployment, false).await?;
        let mut by_second = Vec::new();
        for _ in 0..COUNTED_SECONDS {
            // One second, as calls are counted per second.
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            let present = platform_calls(&deployment).await?;
            by_second.push(present - before);
            before = present;
        }
        println!("{processes} processes, calls in each second after the outage: {by_second:?}");
        deployment.wait_ready().await?;
        let highest = by_second.into_iter().max().unwrap_or_default();
        assert!(highest <= MAX_CALLS_PER_PROCESS * processes as u64, "{highest} calls in a second");
        Ok(())
    })
}

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}

/// Number of calls that the platform has received, answered or not.
async fn platform_calls(deployment: &Deployment) -> Result<u64, TestbedError> {
    let seen: Seen = deployment.platform().get("/_standin/seen").await?.json()?;
    Ok(seen.calls.values().flat_map(|it| it.values()).sum())
}
