//! The membership core: named cases, and a bound that holds whatever falls silent.

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

/// Endpoint `number` on this instance, at this port, of this incarnation.
fn record(
    number: usize,
    instance: &str,
    port: u16,
    life: u64,
    state: EndpointState,
) -> EndpointRecord {
    EndpointRecord {
        endpoint: name(number),
        instance: instance.try_into().unwrap(),
        data_centre: "agdal".try_into().unwrap(),
        kind: EndpointKind::Engine,
        agent: ([127, 0, 0, 1], port).into(),
        incarnation: Incarnation::new(life),
        state,
        target: None,
    }
}

/// Takes events, each so many milliseconds after the start.
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
    a_listed_endpoint_gets_no_work_before_it_is_heard:
        [0 Listed(vec![record(1, "i-1", 1, 0, Live)])] => Some(MemberState::Unconfirmed),
    direct_evidence_makes_it_live:
        [0 Listed(vec![record(1, "i-1", 1, 0, Live)]), 1 AgentRecord(record(1, "i-1", 1, 5, Live))]
        => Some(MemberState::Live),
    the_first_word_of_leaving_counts_although_the_list_lags:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(1, "i-1", 1, 5, Leaving)),
         2 Listed(vec![record(1, "i-1", 1, 0, Live)])] => Some(MemberState::Leaving),
    the_list_tells_of_leaving_first:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 Listed(vec![record(1, "i-1", 1, 0, Leaving)])]
        => Some(MemberState::Leaving),
    an_earlier_incarnation_is_not_believed:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(1, "i-1", 1, 4, Leaving))]
        => Some(MemberState::Live),
    a_later_incarnation_is_live_again:
        [0 AgentRecord(record(1, "i-1", 1, 5, Leaving)), 1 AgentRecord(record(1, "i-1", 1, 6, Live))]
        => Some(MemberState::Live),
    an_address_reused_by_another_endpoint_gets_no_work_for_the_first:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 1 AgentRecord(record(2, "i-2", 1, 6, Live))]
        => Some(MemberState::Unconfirmed),
    an_endpoint_of_a_replaced_instance_starts_afresh:
        [0 AgentRecord(record(1, "i-1", 1, 5, Leaving)), 1 Listed(vec![record(1, "i-2", 2, 0, Live)])]
        => Some(MemberState::Unconfirmed),
    a_lagging_list_doesnt_move_an_endpoint_that_is_heard:
        [0 AgentRecord(record(1, "i-2", 2, 5, Live)), 1 Listed(vec![record(1, "i-1", 1, 0, Live)])]
        => Some(MemberState::Live),
    a_closed_connection_makes_one_of_many_suspect:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 0 AgentRecord(record(2, "i-2", 2, 5, Live)),
         1 ConnectionLost(name(1))] => Some(MemberState::Suspect),
    an_unlisted_endpoint_that_is_heard_stays:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 59_000 AgentHeard(name(1)), 61_000 Listed(vec![])]
        => Some(MemberState::Live),
    an_unlisted_endpoint_that_is_silent_is_forgotten:
        [0 AgentRecord(record(1, "i-1", 1, 5, Live)), 61_000 Listed(vec![])] => None,
    an_outage_forgets_nobody:
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
fn a_silent_connection_is_replaced_before_the_endpoint_is_suspect() {
    let (membership, actions) =
        run(vec![(0, AgentRecord(record(1, "i-1", 1, 5, Live))), (1_500, Tick)]);
    let agent = ([127, 0, 0, 1], 1).into();
    assert!(actions.contains(&MemberAction::Connect { endpoint: name(1), agent }), "{actions:?}");
    assert_eq!(membership.state(&name(1)), Some(MemberState::Live));
}

/// Whatever falls silent, at most the bounded share gets no work, and those that are heard keep theirs.
fn bounded(heard: Vec<bool>) -> bool {
    let count = heard.len();
    let heard: Vec<_> =
        heard.into_iter().enumerate().filter(|it| it.1).map(|it| name(it.0)).collect();
    let mut membership = Membership::new(MemberSettings::default());
    let mut out = Vec::new();
    for number in 0..count {
        let port = 1_000 + u16::try_from(number).unwrap();
        membership.handle(Time::ZERO, AgentRecord(record(number, "i", port, 1, Live)), &mut out);
    }
    let late = Time::ZERO + Duration::from_secs(10);
    for endpoint in &heard {
        membership.handle(late, AgentHeard(endpoint.clone()), &mut out);
    }
    membership.handle(late, Tick, &mut out);
    let routed: Vec<_> = membership.routable().map(|it| it.endpoint.clone()).collect();
    let allowed = (count * 40 / 100).max(1);
    heard.iter().all(|it| routed.contains(it)) && count - routed.len() <= allowed
}

#[test]
fn a_cut_off_observer_doesnt_evict_the_fleet() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 2_026))
        .tests(500)
        .quickcheck(bounded as fn(Vec<bool>) -> bool);
}
