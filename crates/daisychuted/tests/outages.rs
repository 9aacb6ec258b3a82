//! A data centre whose agents fall silent, and a platform that is down while every process restarts. What is lost is
//! printed; no answer is wrong, nothing is doubled, and a refusal that says "not run" is true.

use std::time::Duration;

use daisychute_standin::harness::wait_for;
use daisychute_standin::platform::Seen;
use daisychute_testbed::{Deployment, Fault, Load, Plan, TestbedError};
use serde_json::json;

/// Callers, each with one request at a time.
const CALLERS: usize = 8;
/// Answers before, during and after a fault.
const ANSWERS: usize = 100;
/// Agents of the data centre that falls silent: one of an engine, one of a service worker.
const SILENT: [usize; 2] = [0, 4];
/// How long the fleet may take to serve after the platform is back.
const RECOVERY: Duration = Duration::from_secs(30);
/// For how long the calls of the platform are counted after its return.
const COUNTED: u32 = 5;
/// The most calls that a process may make in the first second after the platform is back.
const CALLS_PER_PROCESS: u64 = 10;

#[test]
fn data_centre_falls_silent() -> Result<(), TestbedError> {
    actix_rt::System::new().block_on(async {
        let plan = Plan::rabat_sale().engines(4).services(4).entries(2);
        let mut deployment = Deployment::start(plan.service_arg("--service-ms=50")).await?;
        let load = Load::start(&deployment, CALLERS);
        load.wait_responses(ANSWERS).await?;
        for index in SILENT {
            deployment.agents_mut()[index].process().pause()?;
        }
        load.wait_responses(ANSWERS).await?;
        for index in SILENT {
            deployment.agents_mut()[index].process().resume()?;
        }
        deployment.wait_ready().await?;
        load.wait_responses(ANSWERS).await?;
        let report = load.finish(&deployment).await?;
        println!(
            "a data centre of four silent: {} whole, {} not run, {} uncertain, {} cut, over {:?}; longest answer {:?}",
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
        let plan = Plan::rabat_sale().engines(4).services(26).entries(10).shared_standins();
        let mut deployment = Deployment::start(plan.log_level("warn")).await?;
        platform_outage(&deployment, true).await?;
        deployment.restart_all().await?;
        wait_for("every process runs", RECOVERY, async || {
            deployment.statuses().await.iter().all(Option::is_some).then_some(())
        })
        .await?;
        let processes = deployment.statuses().await.len();
        let mut before = calls(&deployment).await?;
        platform_outage(&deployment, false).await?;
        let mut by_second = Vec::new();
        for _ in 0..COUNTED {
            // The unit of the figure is calls in one second.
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            let present = calls(&deployment).await?;
            by_second.push(present - before);
            before = present;
        }
        println!("{processes} processes, calls in each second after the outage: {by_second:?}");
        deployment.wait_ready().await?;
        let highest = by_second.into_iter().max().unwrap_or_default();
        assert!(highest <= CALLS_PER_PROCESS * processes as u64, "{highest} calls in a second");
        Ok(())
    })
}

async fn platform_outage(deployment: &Deployment, outage: bool) -> Result<(), TestbedError> {
    deployment.platform().post("/_standin/faults", &json!({ "outage": outage })).await?;
    Ok(())
}

/// Calls that the platform has seen, answered or not.
async fn calls(deployment: &Deployment) -> Result<u64, TestbedError> {
    let seen: Seen = deployment.platform().get("/_standin/seen").await?.json()?;
    Ok(seen.calls.values().flat_map(|it| it.values()).sum())
}
