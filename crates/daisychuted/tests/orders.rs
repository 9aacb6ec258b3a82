//! An engine never receives conflicting orders, and orders from a process that has lost its authority have no effect.
//! Each case runs with engines that check the fencing token and with engines that ignore it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{DesiredState, EndpointName, EngineTarget, Plan as FleetPlan, Role};
use daisychute_standin::engine::{EngineSeen, OrderOutcome};
use daisychute_standin::harness::{Client, wait_for};
use daisychute_testbed::{Deployment, DeploymentSpec, TestbedError};
use serde_json::{Value, json};

/// How long a change or a takeover of the lease may take.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between reads of the committed plan.
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a killed process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Settings with a short lease, so that a takeover doesn't take long.
const TIMING: &str = "[timing]\nlease = 2s\n";
/// Number of store responses to lose; more than there are before the planner's writes.
const LOST_RESPONSES: u32 = 1_000;

/// One test for each fault and each kind of engine. Every test also checks that the committed plan never goes back.
macro_rules! orders {
    ($($kind:ident($args:expr) { $($name:ident)* })*) => {$(
        mod $kind {
            use super::*;
            $(
                #[test]
                fn $name() -> Result<(), TestbedError> {
                    actix_rt::System::new().block_on(async {
                        let mut deployment = Deployment::start(plan(&$args)).await?;
                        let regressions = Rc::<RefCell<Vec<String>>>::default();
                        let watch = actix_rt::spawn(watch_plan(deployment.platform(), Rc::clone(&regressions)));
                        steps::$name(&mut deployment).await?;
                        watch.abort();
                        assert_eq!(*regressions.borrow(), Vec::<String>::new());
                        for engine in deployment.agents().iter().filter(|it| it.is_engine()) {
                            check_orders(&engine.engine_seen().await?);
                        }
                        Ok(())
                    })
                }
            )*
        }
    )*};
}

orders! {
    engine_checks([]) {
        planner_is_paused_past_its_lease
        agent_is_killed_in_mid_change
        engine_crashes_in_mid_change
        answers_are_lost
    }
    engine_ignores(["--ignore-fence"]) {
        planner_is_paused_past_its_lease
        agent_is_killed_in_mid_change
        engine_crashes_in_mid_change
        answers_are_lost
    }
}

fn plan(engine_args: &[&str]) -> DeploymentSpec {
    let plan = DeploymentSpec::rabat_sale().engines(2).entries(2).daemon_sections(TIMING);
    let plan = plan.engine_arg("--change-ms=4000");
    engine_args.iter().fold(plan, |plan, arg| plan.engine_arg(*arg))
}

mod steps {
    use super::*;

    pub(super) async fn planner_is_paused_past_its_lease(
        deployment: &mut Deployment,
    ) -> Result<(), TestbedError> {
        commit_version(deployment, "2").await?;
        wait_version(deployment, "2").await?;
        let first = lease_holder(deployment).await?;
        let term = committed_plan(deployment).await.map(|it| it.term);
        let second_engine = deployment.agents()[1].record().endpoint.clone();
        deployment.operator(["drain", second_engine.as_str()]).await?;
        deployment.entry_mut(first).process().pause()?;
        let taken_over = async || {
            let plan = committed_plan(deployment).await?;
            let drained = plan.endpoints.get(&second_engine).is_some_and(|it| it.drain);
            (Some(plan.term) > term && drained).then_some(())
        };
        wait_for("another entry plans", EFFECT_TIMEOUT, taken_over).await?;
        commit_version(deployment, "3").await?;
        deployment.entry_mut(first).process().resume()?;
        deployment.operator(["undrain", second_engine.as_str()]).await?;
        wait_version(deployment, "3").await?;
        let plan = wait_drain(deployment, &second_engine, false).await?;
        assert!(Some(plan.term) > term, "the term decreased");
        assert_ne!(
            lease_holder(deployment).await?,
            first,
            "the paused entry still holds the lease"
        );
        Ok(())
    }

    pub(super) async fn agent_is_killed_in_mid_change(
        deployment: &mut Deployment,
    ) -> Result<(), TestbedError> {
        commit_version(deployment, "2").await?;
        wait_state(deployment, |it| it["changing"] == true).await?;
        let agent = &mut deployment.agents_mut()[0];
        agent.process().kill()?;
        agent.process().wait_exit(EXIT_TIMEOUT).await?;
        agent.restart()?;
        commit_version(deployment, "3").await?;
        wait_version(deployment, "3").await
    }

    pub(super) async fn engine_crashes_in_mid_change(
        deployment: &mut Deployment,
    ) -> Result<(), TestbedError> {
        let engine = deployment.agents()[0].endpoint();
        engine.post("/_standin/faults", &json!({ "crash_change": "reset" })).await?;
        commit_version(deployment, "2").await?;
        wait_version(deployment, "2").await?;
        let seen = deployment.agents()[0].engine_seen().await?;
        assert_eq!(seen.crashes, 1);
        Ok(())
    }

    /// Loses the responses to the planner's writes and to an order.
    pub(super) async fn answers_are_lost(deployment: &mut Deployment) -> Result<(), TestbedError> {
        let engine = deployment.agents()[0].endpoint();
        engine.post("/_standin/faults", &json!({ "lose_orders": 1 })).await?;
        commit_version(deployment, "2").await?;
        let second_engine = deployment.agents()[1].record().endpoint.clone();
        deployment.operator(["drain", second_engine.as_str()]).await?;
        lose_answers(deployment, LOST_RESPONSES).await?;
        wait_drain(deployment, &second_engine, true).await?;
        lose_answers(deployment, 0).await?;
        deployment.operator(["undrain", second_engine.as_str()]).await?;
        wait_drain(deployment, &second_engine, false).await?;
        wait_version(deployment, "2").await
    }
}

async fn lose_answers(deployment: &Deployment, count: u32) -> Result<(), TestbedError> {
    let faults = json!({ "lose_answers": count });
    deployment.platform().post("/_standin/faults", &faults).await?;
    Ok(())
}

/// Waits until the `drain` flag of an endpoint in the committed plan has this value.
async fn wait_drain(
    deployment: &Deployment,
    endpoint: &EndpointName,
    drain: bool,
) -> Result<FleetPlan, TestbedError> {
    let committed = async || {
        let plan = committed_plan(deployment).await?;
        let present = plan.endpoints.get(endpoint).is_some_and(|it| it.drain);
        (present == drain).then_some(plan)
    };
    Ok(wait_for("the plan has the drain flag", EFFECT_TIMEOUT, committed).await?)
}

/// Records each committed plan whose term or revision is lower than that of an earlier one.
async fn watch_plan(platform: Client, regressions: Rc<RefCell<Vec<String>>>) {
    let mut highest = FleetPlan::default();
    loop {
        if let Some(plan) = read_plan(&platform).await {
            if plan.term < highest.term || plan.revision < highest.revision {
                let (from, to) = ((highest.term, highest.revision), (plan.term, plan.revision));
                regressions.borrow_mut().push(format!("from {from:?} to {to:?}"));
            }
            highest = plan;
        }
        actix_rt::time::sleep(PLAN_POLL_INTERVAL).await;
    }
}

async fn read_plan(platform: &Client) -> Option<FleetPlan> {
    let path = "/apis/daisychute.dev/v1/plans/morocco";
    let object: Value = platform.get(path).await.ok()?.json().ok()?;
    serde_json::from_value(object["spec"].clone()).ok()
}

/// Checks the orders that an engine received.
fn check_orders(seen: &EngineSeen) {
    assert_eq!(seen.conflicts, 0, "{:#?}", seen.orders);
    let mut targets = BTreeMap::new();
    for order in &seen.orders {
        let effective = order.outcome == OrderOutcome::Accepted;
        assert!(!(order.stale && effective), "a stale order was accepted: {:#?}", seen.orders);
        let target = targets.entry(order.fence).or_insert(&order.target);
        assert_eq!(
            *target, &order.target,
            "two targets with the same fencing token: {:#?}",
            seen.orders
        );
    }
}

/// Commits a model version for the first engine, in place of a policy.
async fn commit_version(deployment: &Deployment, version: &str) -> Result<(), TestbedError> {
    let target = EngineTarget {
        role: Role::Mixed,
        model: deployment.model().try_into()?,
        version: version.try_into()?,
        adapter: None,
    };
    let endpoint = deployment.agents()[0].record().endpoint.clone();
    let commit = async || {
        let target = Some(target.clone());
        let committed = deployment.change_plan(|plan| {
            let desired = DesiredState { target, drain: false, since: plan.revision };
            plan.endpoints.insert(endpoint.clone(), desired);
        });
        committed.await.ok()
    };
    wait_for("the plan is committed", EFFECT_TIMEOUT, commit).await?;
    Ok(())
}

async fn wait_version(deployment: &Deployment, version: &str) -> Result<(), TestbedError> {
    wait_state(deployment, |it| it["version"] == version && it["changing"] == false).await
}

/// Waits until the state of the first engine fulfils a condition.
async fn wait_state(
    deployment: &Deployment,
    is_wanted: impl Fn(&Value) -> bool,
) -> Result<(), TestbedError> {
    let engine = deployment.agents()[0].endpoint();
    let read_state = async || {
        let state: Value = engine.get("/state").await.ok()?.json().ok()?;
        is_wanted(&state).then_some(())
    };
    wait_for("the engine is in the wanted state", EFFECT_TIMEOUT, read_state).await?;
    Ok(())
}

async fn committed_plan(deployment: &Deployment) -> Option<FleetPlan> {
    read_plan(&deployment.platform()).await
}

/// The index of the entry that holds the planner lease.
async fn lease_holder(deployment: &Deployment) -> Result<usize, TestbedError> {
    let find = async || {
        let lease = deployment.object("leases").await.ok()?;
        let name = lease["holder"]["process"].as_str()?.to_owned();
        deployment.entries().iter().position(|it| it.name() == name)
    };
    Ok(wait_for("an entry holds the lease", EFFECT_TIMEOUT, find).await?)
}
