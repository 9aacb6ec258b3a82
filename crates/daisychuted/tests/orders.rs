//! An engine never receives conflicting orders, and orders of a process without authority have no effect. Each case
//! runs with engines that check the fencing number and with engines that ignore it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use daisychute_core::{DesiredState, EndpointName, EngineTarget, Plan as FleetPlan, Role};
use daisychute_standin::engine::{EngineSeen, OrderOutcome};
use daisychute_standin::harness::{Client, wait_for};
use daisychute_testbed::{Deployment, Plan, TestbedError};
use serde_json::{Value, json};

/// How long a change, or a takeover of the lease, may take.
const EFFECT: Duration = Duration::from_secs(40);
/// Between two looks at the committed plan.
const LOOK: Duration = Duration::from_millis(5);
/// How long a killed process may take to end.
const END: Duration = Duration::from_secs(5);
/// A lease that is short enough for a test.
const TIMING: &str = "[timing]\nlease = 2s\n";
/// More writes than there are before the planner's.
const LOST_ANSWERS: u32 = 1_000;

/// One test for each fault and each kind of engine.
macro_rules! orders {
    ($($kind:ident($args:expr) { $($name:ident)* })*) => {$(
        mod $kind {
            use super::*;
            $(
                #[test]
                fn $name() -> Result<(), TestbedError> {
                    actix_rt::System::new().block_on(async {
                        let mut deployment = Deployment::start(plan(&$args)).await?;
                        let falls = Rc::<RefCell<Vec<String>>>::default();
                        let watch = actix_rt::spawn(watch_plan(deployment.platform(), Rc::clone(&falls)));
                        steps::$name(&mut deployment).await?;
                        watch.abort();
                        assert_eq!(*falls.borrow(), Vec::<String>::new());
                        for engine in deployment.agents().iter().filter(|it| it.is_engine()) {
                            check(&engine.engine_seen().await?);
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

fn plan(engine_args: &[&str]) -> Plan {
    let plan = Plan::rabat_sale().engines(2).entries(2).daemon_sections(TIMING);
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
        let first = holder(deployment).await?;
        let term = committed_plan(deployment).await.map(|it| it.term);
        let second_engine = deployment.agents()[1].record().endpoint.clone();
        deployment.operator(["drain", second_engine.as_str()]).await?;
        deployment.entry_mut(first).process().pause()?;
        let taken_over = async || {
            let plan = committed_plan(deployment).await?;
            let drained = plan.endpoints.get(&second_engine).is_some_and(|it| it.drain);
            (Some(plan.term) > term && drained).then_some(())
        };
        wait_for("another entry plans", EFFECT, taken_over).await?;
        commit_version(deployment, "3").await?;
        deployment.entry_mut(first).process().resume()?;
        deployment.operator(["undrain", second_engine.as_str()]).await?;
        wait_version(deployment, "3").await?;
        let plan = wait_drain(deployment, &second_engine, false).await?;
        assert!(Some(plan.term) > term, "the term fell");
        assert_ne!(holder(deployment).await?, first, "the paused holder has the lease");
        Ok(())
    }

    pub(super) async fn agent_is_killed_in_mid_change(
        deployment: &mut Deployment,
    ) -> Result<(), TestbedError> {
        commit_version(deployment, "2").await?;
        wait_state(deployment, |it| it["changing"] == true).await?;
        let agent = &mut deployment.agents_mut()[0];
        agent.process().kill()?;
        agent.process().wait_exit(END).await?;
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

    /// Of the planner's writes, and of an order.
    pub(super) async fn answers_are_lost(deployment: &mut Deployment) -> Result<(), TestbedError> {
        let engine = deployment.agents()[0].endpoint();
        engine.post("/_standin/faults", &json!({ "lose_orders": 1 })).await?;
        commit_version(deployment, "2").await?;
        let second_engine = deployment.agents()[1].record().endpoint.clone();
        deployment.operator(["drain", second_engine.as_str()]).await?;
        lose_answers(deployment, LOST_ANSWERS).await?;
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

/// Waits until the committed plan does, or doesn't, drain an endpoint.
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
    Ok(wait_for("the plan drains the endpoint or not", EFFECT, committed).await?)
}

/// Notes each committed plan whose term or revision is lower than that of an earlier one.
async fn watch_plan(platform: Client, falls: Rc<RefCell<Vec<String>>>) {
    let mut highest = FleetPlan::default();
    loop {
        if let Some(plan) = plan_of(&platform).await {
            if plan.term < highest.term || plan.revision < highest.revision {
                let (from, to) = ((highest.term, highest.revision), (plan.term, plan.revision));
                falls.borrow_mut().push(format!("from {from:?} to {to:?}"));
            }
            highest = plan;
        }
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn plan_of(platform: &Client) -> Option<FleetPlan> {
    let path = "/apis/daisychute.dev/v1/plans/morocco";
    let object: Value = platform.get(path).await.ok()?.json().ok()?;
    serde_json::from_value(object["spec"].clone()).ok()
}

/// Checks what an engine was ordered.
fn check(seen: &EngineSeen) {
    assert_eq!(seen.conflicts, 0, "{:#?}", seen.orders);
    let mut targets = BTreeMap::new();
    for order in &seen.orders {
        let effective = order.outcome == OrderOutcome::Accepted;
        assert!(!(order.stale && effective), "an old order had an effect: {:#?}", seen.orders);
        let target = targets.entry(order.fence).or_insert(&order.target);
        assert_eq!(*target, &order.target, "one number, two targets: {:#?}", seen.orders);
    }
}

/// Commits a version for the first engine, in the place of a policy.
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
    wait_for("the plan is committed", EFFECT, commit).await?;
    Ok(())
}

async fn wait_version(deployment: &Deployment, version: &str) -> Result<(), TestbedError> {
    wait_state(deployment, |it| it["version"] == version && it["changing"] == false).await
}

/// Waits for a state of the first engine.
async fn wait_state(
    deployment: &Deployment,
    is_wanted: impl Fn(&Value) -> bool,
) -> Result<(), TestbedError> {
    let engine = deployment.agents()[0].endpoint();
    let look = async || {
        let state: Value = engine.get("/state").await.ok()?.json().ok()?;
        is_wanted(&state).then_some(())
    };
    wait_for("the engine is in the wanted state", EFFECT, look).await?;
    Ok(())
}

async fn committed_plan(deployment: &Deployment) -> Option<FleetPlan> {
    plan_of(&deployment.platform()).await
}

/// The index of the entry that holds the planner lease.
async fn holder(deployment: &Deployment) -> Result<usize, TestbedError> {
    let find = async || {
        let lease = deployment.object("leases").await.ok()?;
        let name = lease["holder"]["process"].as_str()?.to_owned();
        deployment.entries().iter().position(|it| it.name() == name)
    };
    Ok(wait_for("an entry holds the lease", EFFECT, find).await?)
}
