//! Tests the order core with sequences of events.

use daisychute_agent::orders::{
    EngineState, Order, OrderAction, OrderEvent, OrderOutcome, OrderSettings, Orders,
};
use daisychute_core::{DesiredState, EndpointKind, EngineTarget, Revision, Role, Time};

use OrderEvent::{Answered, Drained, Plan, PlanRead, Shutdown, State, Tick};
use OrderOutcome::{Accepted, Changing, NotSent, StaleFence, Unknown};

/// Start of each sequence in milliseconds: by then orders of the predecessor can't reach the engine any more.
const PREDECESSOR_ORDERS_EXPIRED_MS: u64 = 10_000;

fn target(model: &str) -> EngineTarget {
    EngineTarget {
        role: Role::Mixed,
        model: model.try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
    }
}

fn plan(revision: u64, model: &str, drain: bool) -> OrderEvent {
    let since = Revision::new(revision);
    let desired = DesiredState { target: Some(target(model)), drain, since };
    Plan { revision: since, desired: Some(desired) }
}

fn engine(model: &str, fence: u64, changing: bool) -> OrderEvent {
    State(Some(EngineState {
        role: Role::Mixed,
        model: model.try_into().unwrap(),
        version: "1".try_into().unwrap(),
        adapter: None,
        changing,
        fence: Revision::new(fence),
        checks_fence: false,
        started: 1,
        failed: None,
    }))
}

fn confirmed(revision: u64) -> OrderEvent {
    PlanRead(Some(Revision::new(revision)))
}

/// Handles events, each with its time in milliseconds, and returns the resulting actions in short form, without
/// wake-ups and observations.
fn run(kind: &EndpointKind, events: Vec<(u64, OrderEvent)>) -> Vec<String> {
    let mut orders = Orders::new(OrderSettings::default(), kind, Time::ZERO, 1);
    let mut out = Vec::new();
    for (at, event) in events {
        orders.handle(Time::from_millis(at), event, &mut out);
    }
    out.iter().filter_map(describe).collect()
}

fn describe(action: &OrderAction) -> Option<String> {
    Some(match action {
        OrderAction::Admit(admit) => format!("admit {admit}"),
        OrderAction::Drain => "drain".to_owned(),
        OrderAction::ConfirmPlan => "confirm".to_owned(),
        OrderAction::ReadState => "read".to_owned(),
        OrderAction::Order(Order { fence, target }) => format!("order {fence} {}", target.model),
        OrderAction::Superseded { fence } => format!("superseded by {fence}"),
        OrderAction::Failed { .. } => "failed".to_owned(),
        OrderAction::Observed(_) | OrderAction::WakeAt(_) => return None,
    })
}

macro_rules! cases {
    ($($name:ident: $kind:expr, [$($at:literal $event:expr),* $(,)?] => [$($action:expr),* $(,)?],)*) => {$(
        #[test]
        fn $name() {
            let actions = run(&$kind, vec![$(($at + PREDECESSOR_ORDERS_EXPIRED_MS, $event)),*]);
            let expected: Vec<&str> = vec![$($action),*];
            assert_eq!(actions, expected);
        }
    )*};
}

cases! {
    a_change_goes_through_all_steps: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 0, false), 6 Answered(Accepted), 506 Tick, 507 engine("a", 3, true),
         1_007 Tick, 1_008 engine("b", 3, false), 1_009 engine("b", 3, false)]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "order 3 b", "read", "read", "read", "admit true"],
    an_unconfirmed_plan_starts_no_change: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 PlanRead(None), 3 Tick]
        => ["read", "admit false", "confirm", "admit true"],
    a_plan_that_is_no_longer_the_newest_starts_no_change: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(4), 3 Tick]
        => ["read", "admit false", "confirm", "admit true"],
    an_outage_after_the_drain_opens_the_endpoint_again: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 PlanRead(None)]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "admit true"],
    an_unfinished_change_of_a_predecessor_is_waited_for: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 2, true), 501 Tick, 502 engine("c", 2, false)]
        => ["read", "admit false", "read", "confirm", "admit true"],
    an_earlier_plan_is_passed_over: EndpointKind::Engine,
        [0 plan(3, "a", false), 1 plan(2, "b", false), 2 engine("a", 0, false), 3 Tick]
        => ["read", "admit false", "admit true"],
    a_higher_fence_is_respected_although_the_engine_doesnt_check: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 9, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 9, false)]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "superseded by 9", "admit true"],
    a_refused_fence_is_reported: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 0, false), 6 Answered(StaleFence(Revision::new(9)))]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "order 3 b", "superseded by 9", "admit true"],
    an_order_of_unknown_outcome_keeps_the_endpoint_closed_while_it_may_arrive: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 0, false), 6 Answered(Unknown), 506 Tick, 507 engine("a", 0, false),
         9_000 Tick, 9_001 engine("a", 0, false), 10_100 Tick, 10_101 engine("a", 0, false)]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "order 3 b", "read", "read", "read", "failed", "admit true"],
    an_order_that_was_not_sent_opens_the_endpoint_again: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 0, false), 6 Answered(NotSent)]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "order 3 b", "admit true"],
    a_change_in_progress_is_not_ordered_into: EndpointKind::Engine,
        [0 plan(3, "b", false), 1 engine("a", 0, false), 2 confirmed(3), 3 Drained, 4 confirmed(3),
         5 engine("a", 0, false), 6 Answered(Changing), 506 Tick]
        => ["read", "admit false", "confirm", "admit true", "admit false", "drain", "confirm",
            "read", "order 3 b", "read"],
    a_leaving_agent_starts_no_change: EndpointKind::Engine,
        [0 Shutdown, 1 plan(3, "b", false), 2 engine("a", 0, false), 5_002 Tick]
        => ["read", "admit false", "read"],
    a_plain_service_is_drained_and_gets_no_orders: EndpointKind::Service("ledger".try_into().unwrap()),
        [0 Tick, 1 plan(3, "b", true), 2 plan(4, "b", false)]
        => ["admit true", "admit false", "admit true"],
}
