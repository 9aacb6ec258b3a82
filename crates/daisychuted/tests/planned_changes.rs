//! Planned changes under load: no response is truncated, no request runs twice, and every refused request has indeed
//! not run.

use std::process::Command;
use std::time::Duration;

use daisychute_core::{DesiredState, EndpointState, EngineTarget, Role};
use daisychute_standin::harness::wait_for;
use daisychute_testbed::{Deployment, DeploymentSpec, Load, TestbedError};
use serde_json::Value;

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 8;
/// Responses to wait for before the change, and again after it.
const RESPONSES: usize = 60;
/// How long a change may take to have its effect.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(30);

/// One test for each change, which is made to a deployment under load.
macro_rules! planned_changes {
    ($($name:ident => $change:expr,)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(async {
                let mut deployment = Deployment::start(plan()).await?;
                let load = Load::start(&deployment, CLIENTS);
                load.wait_responses(RESPONSES).await?;
                $change(&mut deployment, &load).await?;
                load.wait_responses(RESPONSES).await?;
                let report = load.finish(&deployment).await?;
                println!("{}: {} whole, {} not run", stringify!($name), report.whole, report.not_run);
                assert!(report.faults.is_empty(), "{:#?}", report.faults);
                check_engines(&deployment).await?;
                deployment.stop().await
            })
        }
    )*};
}

planned_changes! {
    agent_stops_and_starts => agent_stops_and_starts_step,
    entry_stops_and_starts => entry_stops_and_starts_step,
    all_processes_restart_in_turn => all_restart_in_turn_step,
    endpoint_is_drained_and_undrained => drain_step,
    engine_changes_its_version => change_version_step,
    hangups_end_no_process => hang_up_step,
}

fn plan() -> DeploymentSpec {
    let plan = DeploymentSpec::rabat_sale().engines(2).services(2).entries(2);
    plan.engine_arg("--change-ms=500").service_arg("--service-ms=50")
}

async fn agent_stops_and_starts_step(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<(), TestbedError> {
    for index in [0, 2] {
        restart_agent(deployment, load, index).await?;
    }
    Ok(())
}

async fn entry_stops_and_starts_step(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<(), TestbedError> {
    restart_entry(deployment, load, 0).await
}

/// Guards against processes that end at once, with all their requests, on a signal that others use for a reload.
async fn hang_up_step(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    let entries: Vec<_> =
        (0..deployment.entries().len()).map(|it| deployment.entry_mut(it).process().id()).collect();
    let agents: Vec<_> = deployment.agents_mut().iter_mut().map(|it| it.process().id()).collect();
    for id in entries.into_iter().chain(agents) {
        let status = Command::new("kill").args(["-HUP", &id.to_string()]).status();
        assert!(status.is_ok_and(|it| it.success()));
    }
    load.wait_responses(RESPONSES).await?;
    deployment.wait_ready().await
}

async fn all_restart_in_turn_step(
    deployment: &mut Deployment,
    load: &Load,
) -> Result<(), TestbedError> {
    for index in 0..deployment.agents().len() {
        restart_agent(deployment, load, index).await?;
    }
    for index in 0..deployment.entries().len() {
        restart_entry(deployment, load, index).await?;
    }
    Ok(())
}

async fn drain_step(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    for index in [0, 2] {
        let name = deployment.agents()[index].record().endpoint.to_string();
        let drained = deployment.operator(["drain", &name]).await?;
        assert_eq!(drained.code, Some(0), "{}", drained.stderr);
        wait_state(deployment, index, EndpointState::Leaving).await?;
        load.wait_responses(RESPONSES).await?;
        let undrained = deployment.operator(["undrain", &name]).await?;
        assert_eq!(undrained.code, Some(0), "{}", undrained.stderr);
        wait_state(deployment, index, EndpointState::Live).await?;
    }
    Ok(())
}

/// Commits the change in place of a policy, as nothing in the daemon requests a target yet.
async fn change_version_step(deployment: &mut Deployment, load: &Load) -> Result<(), TestbedError> {
    let endpoint = deployment.agents()[0].record().endpoint.clone();
    let target = EngineTarget {
        role: Role::Mixed,
        model: deployment.model().try_into()?,
        version: "2".try_into()?,
        adapter: None,
    };
    let what = "there is a plan";
    let commit = async || {
        let target = Some(target.clone());
        let committed = deployment.change_plan(|plan| {
            let desired = DesiredState { target, drain: false, since: plan.revision };
            plan.endpoints.insert(endpoint.clone(), desired);
        });
        committed.await.ok()
    };
    wait_for(what, EFFECT_TIMEOUT, commit).await?;
    let engine = deployment.agents()[0].endpoint();
    let changed = async || {
        let state: Value = engine.get("/state").await.ok()?.json().ok()?;
        (state["version"] == "2" && state["changing"] == false).then_some(())
    };
    wait_for("the engine has its new version", EFFECT_TIMEOUT, changed).await?;
    wait_state(deployment, 0, EndpointState::Live).await?;
    load.wait_responses(RESPONSES).await
}

async fn restart_agent(
    deployment: &mut Deployment,
    load: &Load,
    index: usize,
) -> Result<(), TestbedError> {
    deployment.agents_mut()[index].stop().await?;
    load.wait_responses(RESPONSES).await?;
    deployment.agents_mut()[index].restart()?;
    deployment.wait_ready().await
}

async fn restart_entry(
    deployment: &mut Deployment,
    load: &Load,
    index: usize,
) -> Result<(), TestbedError> {
    deployment.entry_mut(index).stop().await?;
    load.wait_responses(RESPONSES).await?;
    deployment.entry_mut(index).restart()?;
    deployment.wait_ready().await
}

/// Waits until every entry reports this state of an endpoint.
async fn wait_state(
    deployment: &Deployment,
    index: usize,
    state: EndpointState,
) -> Result<(), TestbedError> {
    let agent = &deployment.agents()[index];
    let seen = async || {
        for entry in deployment.entries() {
            let status = entry.status().await.ok()?;
            let endpoint =
                status.endpoints.into_iter().find(|it| it.endpoint == agent.record().endpoint)?;
            if endpoint.state != state {
                return None;
            }
        }
        Some(())
    };
    wait_for("every entry sees the state of the endpoint", EFFECT_TIMEOUT, seen).await?;
    Ok(())
}

/// Checks that no request was interrupted on an engine, not even one that another run completed.
async fn check_engines(deployment: &Deployment) -> Result<(), TestbedError> {
    for engine in deployment.agents().iter().filter(|it| it.is_engine()) {
        let seen = engine.engine_seen().await?;
        assert_eq!(seen.cut, Vec::<String>::new(), "cut by an order");
        assert_eq!(seen.cancelled, Vec::<String>::new(), "cancelled");
        assert_eq!(seen.continuations, Vec::new(), "continued after an interruption");
    }
    Ok(())
}
