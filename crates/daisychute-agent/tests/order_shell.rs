//! Tests the order shell with a stand-in engine over HTTP.

use std::time::{Duration, Instant};

use daisychute_agent::orders::{OrderOutput, OrderSettings, OrderShell};
use daisychute_core::{
    DesiredState, EndpointKind, EndpointName, EngineTarget, Plan, Revision, Role, Term,
};
use daisychute_standin::Engine;
use daisychute_standin::engine::{Crash, EngineConfig, EngineFaults};
use tokio::sync::mpsc::UnboundedReceiver;

const TIMEOUT: Duration = Duration::from_secs(20);

fn target(model: &str) -> EngineTarget {
    EngineTarget {
        role: Role::Mixed,
        model: model.try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    }
}

fn endpoint() -> EndpointName {
    EndpointName::try_from("clerk-lm-1").unwrap()
}

fn plan(revision: u64, model: &str) -> Plan {
    let revision = Revision::new(revision);
    let desired = DesiredState { target: Some(target(model)), drain: false, since: revision };
    Plan { term: Term::new(1), revision, endpoints: [(endpoint(), desired)].into() }
}

fn settings() -> OrderSettings {
    let ms = Duration::from_millis;
    OrderSettings {
        order_lifetime: ms(600),
        poll_interval: ms(50),
        check_interval: ms(200),
        first_retry: ms(50),
        longest_retry: ms(200),
    }
}

/// An agent without requests, whose plan reads always succeed.
struct Agent {
    shell: OrderShell,
    outputs: UnboundedReceiver<OrderOutput>,
    plan: Plan,
    admits: bool,
}

impl Agent {
    fn start(engine: &Engine, plan: Plan) -> Self {
        let url = format!("http://{}", engine.local_addr());
        let (shell, outputs) = OrderShell::start(settings(), &EndpointKind::Engine, &url, 1);
        shell.plan(&plan, &endpoint());
        Self { shell, outputs, plan, admits: false }
    }

    fn set_plan(&mut self, plan: Plan) {
        self.shell.plan(&plan, &endpoint());
        self.plan = plan;
    }

    fn handle_outputs(&mut self) {
        while let Ok(output) = self.outputs.try_recv() {
            match output {
                OrderOutput::Admit(admit) => self.admits = admit,
                OrderOutput::Drain => self.shell.drained(),
                OrderOutput::ConfirmPlan => self.shell.plan_confirmed(Some(self.plan.revision)),
                OrderOutput::Observed(_) => {}
            }
        }
    }

    async fn wait_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "timeout after {TIMEOUT:?}: {what}");
            self.handle_outputs();
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn engine(checks_fence: bool) -> Engine {
    let mut config = EngineConfig::new(target("a"));
    config.checks_fence = checks_fence;
    config.change = Duration::from_millis(400);
    Engine::start("127.0.0.1:0".parse().unwrap(), config).await.unwrap()
}

/// The fencing tokens of the orders that the engine received. Fails if any was stale or conflicted with another.
fn received_fences(engine: &Engine) -> Vec<u64> {
    let seen = engine.seen();
    assert_eq!(seen.conflicts, 0, "{seen:?}");
    assert!(seen.orders.iter().all(|it| !it.stale && !it.overlap), "{seen:?}");
    seen.orders.iter().map(|it| it.fence).collect()
}

macro_rules! with_and_without_fence_checks {
    ($($name:ident: $test:ident,)*) => {$(
        mod $name {
            #[test]
            fn where_the_engine_checks_the_fence() {
                actix_rt::System::new().block_on(super::$test(true));
            }

            #[test]
            fn where_the_engine_ignores_the_fence() {
                actix_rt::System::new().block_on(super::$test(false));
            }
        }
    )*};
}

with_and_without_fence_checks! {
    a_change_is_carried_out: change_once,
    a_plan_that_changes_during_a_change_follows_it: change_twice,
    a_replaced_agent_waits_for_the_change_of_its_predecessor: replace_agent,
    a_lost_answer_is_settled_without_a_second_order: lose_response,
    a_crash_in_mid_change_is_repeated_with_the_same_number: crash_during_change,
}

async fn change_once(checks_fence: bool) {
    let engine = engine(checks_fence).await;
    let mut agent = Agent::start(&engine, plan(3, "b"));
    agent.wait_until("b", |it| engine.target() == target("b") && it.admits).await;
    assert_eq!(received_fences(&engine), [3]);
}

async fn change_twice(checks_fence: bool) {
    let engine = engine(checks_fence).await;
    let mut agent = Agent::start(&engine, plan(3, "b"));
    agent.wait_until("the order", |_| !engine.seen().orders.is_empty()).await;
    agent.set_plan(plan(4, "c"));
    agent.wait_until("c", |it| engine.target() == target("c") && it.admits).await;
    assert_eq!(received_fences(&engine), [3, 4]);
}

async fn replace_agent(checks_fence: bool) {
    let engine = engine(checks_fence).await;
    let mut killed = Agent::start(&engine, plan(3, "b"));
    killed.wait_until("the order", |_| !engine.seen().orders.is_empty()).await;
    drop(killed);
    let mut agent = Agent::start(&engine, plan(4, "c"));
    agent.wait_until("c", |it| engine.target() == target("c") && it.admits).await;
    assert_eq!(received_fences(&engine), [3, 4]);
}

async fn lose_response(checks_fence: bool) {
    let engine = engine(checks_fence).await;
    engine.set_faults(EngineFaults { lose_orders: 1, ..EngineFaults::default() });
    let mut agent = Agent::start(&engine, plan(3, "b"));
    agent.wait_until("b", |it| engine.target() == target("b") && it.admits).await;
    assert_eq!(received_fences(&engine), [3]);
}

async fn crash_during_change(checks_fence: bool) {
    let engine = engine(checks_fence).await;
    let faults = EngineFaults { crash_change: Some(Crash::Reset), ..EngineFaults::default() };
    engine.set_faults(faults);
    let mut agent = Agent::start(&engine, plan(3, "b"));
    agent.wait_until("b", |it| engine.target() == target("b") && it.admits).await;
    assert_eq!(received_fences(&engine), [3, 3]);
    assert_eq!(engine.seen().crashes, 1);
}
