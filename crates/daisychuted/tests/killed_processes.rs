//! Processes are killed under load. Requests may be lost, but no response is wrong, no request runs twice, and a
//! request refused as "not run" has not run.

use std::time::Duration;

use daisychute_standin::harness::wait_for;
use daisychute_testbed::{Deployment, DeploymentSpec, Fault, Load, TestbedError};
use serde_json::json;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 8;
/// Responses to wait for before the kill, and again after it.
const RESPONSES: usize = 60;
/// How long a killed process may take to exit, or an engine to start a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// One test for each process that is killed.
macro_rules! killed_processes {
    ($($name:ident => $kill:expr,)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(async {
                let spec = DeploymentSpec::rabat_sale().engines(2).services(2).entries(2);
                let mut deployment = Deployment::start(spec.service_arg("--service-ms=50")).await?;
                let load = Load::start(&deployment, CLIENTS);
                load.wait_responses(RESPONSES).await?;
                $kill(&mut deployment, &load).await?;
                load.wait_responses(RESPONSES).await?;
                let report = load.finish(&deployment).await?;
                println!(
                    "{}: {} whole, {} not run, {} uncertain, {} cut, over {:?}",
                    stringify!($name),
                    report.whole,
                    report.not_run,
                    report.count(Fault::Uncertain),
                    report.count(Fault::Cut),
                    report.disturbance(),
                );
                for fault in [Fault::Wrong, Fault::Doubled, Fault::Missing, Fault::FalseNotRun] {
                    assert_eq!(report.count(fault), 0, "{fault:?}: {:#?}", report.faults);
                }
                Ok(())
            })
        }
    )*};
}

killed_processes! {
    agent_of_an_engine_is_killed => kill_engine_agent,
    agent_of_a_service_is_killed => kill_service_agent,
    entry_is_killed => kill_entry,
    engine_crashes => crash_engine,
}

async fn kill_engine_agent(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    let index = busy_engine(deployment).await?;
    kill_agent(deployment, load, index).await
}

async fn kill_service_agent(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    kill_agent(deployment, load, 2).await
}

async fn kill_agent(
    deployment: &mut Deployment,
    load: &Load,
    index: usize,
) -> Result<(), TestbedError> {
    let agent = &mut deployment.agents_mut()[index];
    agent.process().kill()?;
    agent.process().wait_exit(TIMEOUT).await?;
    load.wait_responses(RESPONSES).await?;
    deployment.agents_mut()[index].restart()?;
    deployment.wait_ready().await
}

/// Waits until an engine runs a request, and returns its index.
async fn busy_engine(deployment: &Deployment) -> Result<usize, TestbedError> {
    let busy = async || {
        for (index, engine) in
            deployment.agents().iter().enumerate().filter(|(_, it)| it.is_engine())
        {
            let seen = engine.engine_seen().await.ok()?;
            let ended = seen.finished.len() + seen.cancelled.len() + seen.cut.len();
            if seen.started.len() > ended {
                return Some(index);
            }
        }
        None
    };
    Ok(wait_for("an engine runs a request", TIMEOUT, busy).await?)
}

async fn kill_entry(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    let entry = deployment.entry_mut(0);
    entry.process().kill()?;
    entry.process().wait_exit(TIMEOUT).await?;
    load.wait_responses(RESPONSES).await?;
    deployment.entry_mut(0).restart()?;
    deployment.wait_ready().await
}

async fn crash_engine(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    let engine = &deployment.agents()[busy_engine(deployment).await?];
    engine.endpoint().post("/_standin/faults", &json!({ "crash_running": "reset" })).await?;
    // A request seen running may end before the fault is set, so the engine itself crashes in the middle of one.
    let crashed = async || {
        let seen = engine.engine_seen().await.ok()?;
        (seen.crashes > 0).then_some(seen)
    };
    let seen = wait_for("the engine crashes", TIMEOUT, crashed).await?;
    assert_ne!(seen.cut, Vec::<String>::new());
    load.wait_responses(RESPONSES).await?;
    deployment.wait_ready().await
}
