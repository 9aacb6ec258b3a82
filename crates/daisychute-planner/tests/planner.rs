//! Tests of the planner state machine, event by event.

use std::collections::BTreeSet;

use daisychute_core::{DesiredState, EndpointName, EngineTarget, Plan, Revision, Role, Term, Time};
use daisychute_planner::{PlanChange, Planner, PlannerAction, PlannerEvent, PlannerSettings};
use daisychute_store::{Object, ObjectKind, ReadOutcome, WriteId, WriteOutcome};

use PlannerEvent::{DrainRequests, EndpointRemoved, Lost, Observed, Read, Tick, Written};

fn endpoint(number: u64) -> EndpointName {
    EndpointName::try_from(format!("e-{number}")).unwrap()
}

fn target(model: &str, role: Role) -> EngineTarget {
    let version = "1".try_into().unwrap();
    EngineTarget { role, model: model.try_into().unwrap(), version, adapter: None }
}

fn change(number: u64, model: &str, role: Role) -> PlannerEvent {
    let target = target(model, role);
    PlannerEvent::PlanChangeRequested(PlanChange::Target { endpoint: endpoint(number), target })
}

fn observed(number: u64, model: &str) -> PlannerEvent {
    let target = Some(target(model, Role::Mixed));
    Observed { endpoint: endpoint(number), target }
}

fn drain_requests(numbers: &[u64]) -> PlannerEvent {
    DrainRequests(numbers.iter().map(|it| endpoint(*it)).collect::<BTreeSet<_>>())
}

/// Result of reading a plan object with this term and revision and two engines of model `a`.
fn plan_read(term: u64, revision: u64) -> PlannerEvent {
    plan_read_with_drains(term, revision, &[])
}

/// Like [`plan_read`], with these engines drained.
fn plan_read_with_drains(term: u64, revision: u64, drained: &[u64]) -> PlannerEvent {
    let target = Some(target("a", Role::Mixed));
    let desired = |it| DesiredState {
        target: target.clone(),
        drain: drained.contains(&it),
        since: Revision::ZERO,
    };
    let endpoints = (1..=2).map(|it| (endpoint(it), desired(it))).collect();
    let plan = Plan { term: Term::new(term), revision: Revision::new(revision), endpoints };
    let spec = serde_json::to_value(plan).unwrap();
    Read(ReadOutcome::Found(Object::new(ObjectKind::Plans, "r", spec).version(Some("7".into()))))
}

fn acquired(term: u64, until_ms: u64) -> PlannerEvent {
    PlannerEvent::Acquired { term: Term::new(term), until: Time::from_millis(until_ms) }
}

fn write_done(version: &str) -> PlannerEvent {
    Written(WriteOutcome::Done(version.into()))
}

/// Feeds the events one second apart and returns the resulting actions as text, without the timers.
fn run(events: Vec<PlannerEvent>) -> Vec<String> {
    let settings = PlannerSettings { max_weight_loads: 1, ..PlannerSettings::default() };
    let write_id = WriteId::first("entry-1/plan");
    let mut planner = Planner::new(settings, "r".try_into().unwrap(), write_id, 1);
    let mut out = Vec::new();
    for (second, event) in events.into_iter().enumerate() {
        planner.handle(Time::from_millis(second as u64 * 1_000), event, &mut out);
    }
    out.iter().filter_map(describe_action).collect()
}

fn describe_action(action: &PlannerAction) -> Option<String> {
    Some(match action {
        PlannerAction::ReadPlan => "read".to_owned(),
        PlannerAction::WritePlan(object) => describe_write(&object.parse().unwrap()),
        PlannerAction::Committed { revision } => format!("committed {revision}"),
        PlannerAction::MalformedPlan { .. } => "malformed plan".to_owned(),
        PlannerAction::TermSeen(term) => format!("term {term}"),
        PlannerAction::WakeAt(_) => return None,
    })
}

fn describe_write(plan: &Plan) -> String {
    let entries = plan.endpoints.iter().map(|(endpoint, desired)| {
        let model = desired.target.as_ref().map_or("-", |it| it.model.as_str());
        let drain = if desired.drain { " drained" } else { "" };
        format!(" {endpoint}={model}@{}{drain}", desired.since)
    });
    format!("write {}/{}{}", plan.term, plan.revision, entries.collect::<String>())
}

macro_rules! cases {
    ($($name:ident: [$($event:expr),* $(,)?] => [$($action:expr),* $(,)?],)*) => {$(
        #[test]
        fn $name() {
            let actions = run(vec![$($event),*]);
            let expected: Vec<&str> = vec![$($action),*];
            assert_eq!(actions, expected);
        }
    )*};
}

cases! {
    the_first_write_puts_the_term_into_the_plan: [acquired(4, 60_000), plan_read(3, 9), write_done("8"), Tick]
        => ["read", "write 4/10 e-1=a@0 e-2=a@0", "committed 10"],
    a_higher_term_in_the_plan_ends_the_authority:
        [acquired(4, 60_000), plan_read(5, 9), change(1, "b", Role::Mixed), Tick] => ["read", "term 5"],
    nothing_is_written_after_the_lease_expired: [acquired(4, 500), plan_read(3, 9), Tick] => ["read"],
    a_conflict_leads_to_a_fresh_read:
        [acquired(4, 60_000), plan_read(3, 9), Written(WriteOutcome::Conflict), plan_read(3, 11)]
        => ["read", "write 4/10 e-1=a@0 e-2=a@0", "read", "write 4/12 e-1=a@0 e-2=a@0"],
    an_ambiguous_write_is_resolved_before_the_next_one:
        [acquired(4, 60_000), plan_read(3, 9), Written(WriteOutcome::Unknown), Tick, plan_read(3, 9)]
        => ["read", "write 4/10 e-1=a@0 e-2=a@0", "read", "write 4/10 e-1=a@0 e-2=a@0"],
    weight_loads_are_limited:
        [acquired(4, 60_000), observed(1, "a"), observed(2, "a"), change(1, "b", Role::Mixed),
         change(2, "b", Role::Mixed), plan_read(3, 9), write_done("8"), observed(1, "b"), write_done("9")]
        => ["read", "write 4/10 e-1=b@10 e-2=a@0", "committed 10",
            "write 4/11 e-1=b@10 e-2=b@11", "committed 11"],
    a_load_on_a_removed_endpoint_blocks_no_other_load:
        [acquired(4, 60_000), observed(1, "a"), observed(2, "a"), change(1, "b", Role::Mixed),
         change(2, "b", Role::Mixed), plan_read(3, 9), write_done("8"), EndpointRemoved(endpoint(1)), Tick, Tick, Tick,
         Tick, Tick, Tick, Tick, Tick, write_done("9")]
        => ["read", "write 4/10 e-1=b@10 e-2=a@0", "committed 10",
            "write 4/11 e-1=b@10 e-2=b@11", "committed 11"],
    a_change_of_role_loads_no_weights:
        [acquired(4, 60_000), observed(1, "a"), observed(2, "a"), change(1, "b", Role::Mixed),
         change(2, "a", Role::Decode), plan_read(3, 9)]
        => ["read", "write 4/10 e-1=b@10 e-2=a@10"],
    drains_of_operators_are_committed_and_withdrawn:
        [acquired(4, 60_000), drain_requests(&[2]), plan_read(4, 9), write_done("8"), drain_requests(&[]),
         write_done("9")]
        => ["read", "write 4/10 e-1=a@0 e-2=a@10 drained", "committed 10",
            "write 4/11 e-1=a@0 e-2=a@11", "committed 11"],
    drains_stay_until_the_requests_are_known: [acquired(4, 60_000), plan_read(4, 9), Tick] => ["read"],
    // Guards against a target of an earlier lease in place of what the planner since then wrote.
    targets_of_an_earlier_lease_are_not_applied_again:
        [acquired(4, 60_000), observed(1, "a"), observed(2, "a"), change(1, "b", Role::Mixed), plan_read(3, 9),
         write_done("8"), Lost, acquired(6, 60_000), plan_read(5, 20), write_done("9"), Tick]
        => ["read", "write 4/10 e-1=b@10 e-2=a@0", "committed 10",
            "read", "write 6/21 e-1=a@0 e-2=a@0", "committed 21"],
    // Guards against work for an endpoint that an operator drained while another process held the lease.
    drains_known_from_an_earlier_lease_are_not_applied_again:
        [acquired(4, 60_000), drain_requests(&[1]), plan_read(4, 9), write_done("8"), Lost, acquired(6, 60_000),
         plan_read_with_drains(5, 20, &[2]), write_done("9"), Tick, drain_requests(&[2]), Tick]
        => ["read", "write 4/10 e-1=a@10 drained e-2=a@0", "committed 10",
            "read", "write 6/21 e-1=a@0 e-2=a@0 drained", "committed 21"],
    // Guards against requests that outlive a lease that ended by the term in the plan.
    targets_of_a_lease_that_a_higher_term_ended_are_not_applied_again:
        [acquired(4, 60_000), observed(1, "a"), observed(2, "a"), change(1, "b", Role::Mixed), plan_read(5, 9),
         acquired(6, 60_000), plan_read(5, 20), write_done("9"), Tick]
        => ["read", "term 5", "read", "write 6/21 e-1=a@0 e-2=a@0", "committed 21"],
    // Guards against drains whose read outlasted the lease.
    drains_that_arrive_after_the_lease_are_ignored:
        [acquired(4, 60_000), plan_read(4, 9), Lost, drain_requests(&[1]), acquired(6, 60_000),
         plan_read_with_drains(5, 20, &[2]), write_done("9"), Tick]
        => ["read", "read", "write 6/21 e-1=a@0 e-2=a@0 drained", "committed 21"],
}
