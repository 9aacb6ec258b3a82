//! Cases of the membership core, and a property: however many agents fall silent, few endpoints lose their work.

use std::time::Duration;

use daisychute_core::{
    EndpointKind, EndpointName, EndpointRecord, EndpointState, Incarnation, Time,
};
use daisychute_store::{MemberAction, MemberEvent, MemberSettings, MemberState, Membership};
use quickcheck::{Gen, QuickCheck};

use EndpointState::{Leaving, Live};
use MemberEvent::{AgentHeard, AgentRecord, ConnectionLost, Listed, Tick};

fn name(number: usize) -> EndpointName {
    EndpointName::try_from(format!("e-{number}")).unwrap()
}

/// Record of endpoint `number` on `instance`, whose agent listens at `port`.
fn record(
    number: usize,
    instance: &str,
    port: u16,
    incarnation: u64,
    state: EndpointState,
) -> EndpointRecord {
    EndpointRecord {
        endpoint: name(number),
        instance: instance.try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        kind: EndpointKind::Engine,
        agent: ([127, 0, 0, 1], port).into(),
        incarnation: Incarnation::new(incarnation),
        state,
        target: None,
    }
}

/// Runs a new membership over events, each with its time in milliseconds.
fn run(events: Vec<(u64, MemberEvent)>) -> (Membership, Vec<MemberAction>) {
    let mut membership = Membership::new(MemberSettings::default());
    let mut out = Vec::new();
    for (at, event) in events {
        membership.handle(Time::from_millis(at), event, &mut out);
    }
    (membership, out)
}

macro_rules! cases {
    ($($name:ident: [$($at:literal $event:expr),* $(,)?] => $state:expr,)*) => {$(
        #[test]
        fn $name() {
            let (membership, _) = run(vec![$(($at, $event)),*]);
            assert_eq!(membership.state(&name(1)), $state);
        }
    )*};
}

cases! {
    a_listed_endpoint_gets_no_work_before_its_agent_responds:
        [0 Listed(vec![record(1, "i-1", 1, 0, Live)])] => Some(MemberState::Unconfirmed),
    a_record_of_its_agent_makes_an_endpoint_live:
        [0 Listed(vec![record(1, "i-1", 1, 0, Live)]), 1 AgentRecord(record(1, "i-1", 1, 5, Live))]
        => Some(MemberState::Live),
    leaving_reported_by_the_agent_counts_although_the_list_lags:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(1, "i-1", 1, 5, Leaving)),
         2 Listed(vec![record(1, "i-1", 1, 0, Live)])] => Some(MemberState::Leaving),
    leaving_reported_by_the_list_counts:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 Listed(vec![record(1, "i-1", 1, 0, Leaving)])]
        => Some(MemberState::Leaving),
    a_record_of_an_earlier_incarnation_is_ignored:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(1, "i-1", 1, 4, Leaving))]
        => Some(MemberState::Live),
    a_later_incarnation_is_live_again:
        [0 AgentRecord(record(1, "i-1", 1, 5, Leaving)), 1 AgentRecord(record(1, "i-1", 1, 6, Live))]
        => Some(MemberState::Live),
    an_address_reused_by_another_endpoint_gets_no_work_for_the_first:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(2, "i-2", 1, 6, Live))]
        => Some(MemberState::Unconfirmed),
    an_endpoint_of_a_replaced_instance_is_unconfirmed:
        [0 AgentRecord(record(1, "i-1", 1, 5, Leaving)), 1 Listed(vec![record(1, "i-2", 2, 0, Live)])]
        => Some(MemberState::Unconfirmed),
    a_lagging_list_doesnt_move_a_responsive_endpoint:
        [0 AgentRecord(record(1, "i-2", 2, 5, Live)), 1 Listed(vec![record(1, "i-1", 1, 0, Live)])]
        => Some(MemberState::Live),
    a_closed_connection_makes_one_of_many_suspect:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 0 AgentRecord(record(2, "i-2", 2, 5, Live)),
         1 ConnectionLost(name(1))] => Some(MemberState::Suspect),
    an_unlisted_responsive_endpoint_stays:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 59_000 AgentHeard(name(1)), 61_000 Listed(vec![])]
        => Some(MemberState::Live),
    an_unlisted_unresponsive_endpoint_is_removed:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 61_000 Listed(vec![])] => None,
    an_endpoint_stays_known_without_new_lists:
        [0 Listed(vec![record(1, "i-1", 1, 0, Live)]), 0 AgentRecord(record(1, "i-1", 1, 5, Live)),
         0 AgentRecord(record(2, "i-2", 2, 5, Live)), 500_000 AgentHeard(name(2)), 500_001 Tick]
        => Some(MemberState::Suspect),
}

#[test]
fn a_replaced_address_is_connected_to() {
    let (_, actions) = run(vec![
        (0, Listed(vec![record(1, "i-1", 1, 0, Live)])),
        (5_000, Listed(vec![record(1, "i-1", 7, 0, Live)])),
    ]);
    let agent = ([127, 0, 0, 1], 7).into();
    assert!(actions.contains(&MemberAction::Connect { endpoint: name(1), agent }), "{actions:?}");
}

#[test]
fn an_address_that_is_given_back_is_connected_to_again() {
    let (_, actions) = run(vec![
        (0, AgentRecord(record(1, "i-1", 1, 5, Live))),
        (1, AgentRecord(record(2, "i-2", 1, 6, Live))),
        (2, Listed(vec![record(1, "i-1", 1, 0, Live)])),
        (3, AgentRecord(record(2, "i-2", 2, 6, Live))),
        (4, Listed(vec![record(1, "i-1", 1, 0, Live)])),
    ]);
    let connect = MemberAction::Connect { endpoint: name(1), agent: ([127, 0, 0, 1], 1).into() };
    assert_eq!(actions.iter().filter(|it| **it == connect).count(), 1, "{actions:?}");
}

#[test]
fn an_idle_connection_is_replaced_before_the_endpoint_is_suspect() {
    let (membership, actions) =
        run(vec![(0, AgentRecord(record(1, "i-1", 1, 5, Live))), (1_500, Tick)]);
    let agent = ([127, 0, 0, 1], 1).into();
    assert!(actions.contains(&MemberAction::Connect { endpoint: name(1), agent }), "{actions:?}");
    assert_eq!(membership.state(&name(1)), Some(MemberState::Live));
}

/// Whether at most 40 % of the endpoints are unroutable and every responsive one is routable. `responsive` has one flag
/// per endpoint: whether its agent was heard from shortly before the check.
fn suspects_at_most_the_allowed_share(responsive: Vec<bool>) -> bool {
    let count = responsive.len();
    let responsive: Vec<_> =
        responsive.into_iter().enumerate().filter(|it| it.1).map(|it| name(it.0)).collect();
    let mut membership = Membership::new(MemberSettings::default());
    let mut out = Vec::new();
    for number in 0..count {
        let port = 1_000 + u16::try_from(number).unwrap();
        membership.handle(Time::ZERO, AgentRecord(record(number, "i", port, 1, Live)), &mut out);
    }
    let later = Time::ZERO + Duration::from_secs(10);
    for endpoint in &responsive {
        membership.handle(later, AgentHeard(endpoint.clone()), &mut out);
    }
    membership.handle(later, Tick, &mut out);
    let routable: Vec<_> = membership.routable().map(|it| it.endpoint.clone()).collect();
    let allowed = (count * 40 / 100).max(1);
    responsive.iter().all(|it| routable.contains(it)) && count - routable.len() <= allowed
}

#[test]
fn a_partitioned_observer_doesnt_evict_the_fleet() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 2_026))
        .tests(500)
        .quickcheck(suspects_at_most_the_allowed_share as fn(Vec<bool>) -> bool);
}
