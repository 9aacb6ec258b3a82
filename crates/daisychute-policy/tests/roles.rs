//! Tests of the role planner and the demand meter.

use std::time::Duration;

use daisychute_core::{
    ClassName, DataCentreName, EndpointName, ModelName, Precedence, Preference, Role, Time,
};
use daisychute_policy::{
    Demand, DemandMeter, DemandTable, EngineView, Fleet, RoleChange, RolePlanner, UnitCosts,
};

/// Planning rounds of a simulation: ten minutes.
const ROUNDS: usize = 300;
/// Time between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

fn model() -> ModelName {
    ModelName::try_from("clerk-lm").unwrap()
}

fn engine(i: usize, role: Role) -> EngineView {
    EngineView {
        endpoint: EndpointName::try_from(format!("clerk-lm-{i}")).unwrap(),
        data_centre: DataCentreName::try_from(["agdal", "hassan", "tabriquet"][i % 3]).unwrap(),
        model: model(),
        role,
        changing: false,
        live: true,
        running: 0,
        cache_seconds: 1.0,
    }
}

fn fleet(prefill: usize, decode: usize) -> Fleet {
    let role = |i| if i < prefill { Role::Prefill } else { Role::Decode };
    Fleet { engines: (0..prefill + decode).map(|i| engine(i, role(i))).collect() }
}

fn table(now: Time, prefill: f64, decode: f64) -> DemandTable {
    let mut table = DemandTable { as_of: now, heard: 3, expected: 3, ..DemandTable::default() };
    table.models.insert(model(), Demand { prefill, decode, ..Demand::default() });
    table
}

/// Simulates planning rounds in which each role change takes three rounds. Returns the changes with their rounds, and
/// the fleet at the end.
fn simulate(
    preference: Preference,
    mut fleet: Fleet,
    rounds: usize,
    demand: impl Fn(usize) -> (f64, f64),
) -> (Vec<(usize, RoleChange)>, Fleet) {
    let mut planner = RolePlanner::new(preference);
    let mut changes: Vec<(usize, RoleChange)> = Vec::new();
    for round in 0..rounds {
        let now = Time::ZERO + ROUND_INTERVAL * round as u32;
        let is_changing = |it: &EngineView| {
            changes
                .iter()
                .any(|(started, change)| change.endpoint == it.endpoint && round < started + 3)
        };
        let changing: Vec<bool> = fleet.engines.iter().map(is_changing).collect();
        for (engine, changing) in fleet.engines.iter_mut().zip(changing) {
            engine.changing = changing;
        }
        let (prefill, decode) = demand(round);
        for change in planner.plan(now, &fleet, &table(now, prefill, decode)) {
            let engine =
                fleet.engines.iter_mut().find(|it| it.endpoint == change.endpoint).unwrap();
            engine.role = change.role;
            changes.push((round, change));
        }
    }
    (changes, fleet)
}

fn count(fleet: &Fleet, role: Role) -> usize {
    fleet.engines.iter().filter(|it| it.live && it.role == role).count()
}

macro_rules! plan_cases {
    ($($name:ident: $preference:ident, $prefill:literal + $decode:literal, $demand:expr => $change_count:expr, $roles:expr;)*) => {$(
        #[test]
        fn $name() {
            let (changes, fleet) = simulate(Preference::$preference, fleet($prefill, $decode), ROUNDS, $demand);
            let expected_count: std::ops::RangeInclusive<usize> = $change_count;
            assert!(expected_count.contains(&changes.len()), "{changes:?}");
            let roles = (count(&fleet, Role::Prefill), count(&fleet, Role::Decode));
            assert!($roles.contains(&roles), "{roles:?}");
        }
    )*};
}

plan_cases! {
    a_balanced_fleet_is_not_changed: Goodput, 6 + 6, |_| (3.5, 3.5) => 0..=0, [(6, 6)];
    capacity_follows_a_lasting_bias_to_prefill: Goodput, 6 + 6, |_| (7.0, 2.0) => 2..=4, [(8, 4), (9, 3), (10, 2)];
    capacity_follows_a_lasting_bias_to_decode: Goodput, 6 + 6, |_| (2.0, 7.0) => 2..=4, [(4, 8), (3, 9), (2, 10)];
    few_role_changes_ignores_a_small_bias: FewRoleChanges, 6 + 6, |_| (4.6, 3.0) => 0..=0, [(6, 6)];
    few_role_changes_follows_a_large_lasting_bias: FewRoleChanges, 6 + 6, |_| (8.0, 1.5) => 2..=4, [(8, 4), (9, 3), (10, 2)];
    a_square_wave_of_ten_seconds_is_ignored: Goodput, 6 + 6,
        |round| if round / 5 % 2 == 0 { (5.5, 2.5) } else { (2.5, 5.5) } => 0..=2, [(6, 6), (7, 5), (5, 7)];
    both_phases_keep_their_minimum_of_engines: Goodput, 6 + 6, |_| (30.0, 0.0) => 1..=4, [(9, 3), (10, 2)];
}

macro_rules! unusable_demand_cases {
    ($($name:ident: $alter:expr;)*) => {$(
        /// Demand that would cause role changes causes none while the table is stale or incomplete.
        #[test]
        fn $name() {
            let mut planner = RolePlanner::new(Preference::Goodput);
            for round in 0..60 {
                let now = Time::from_millis(60_000) + ROUND_INTERVAL * round;
                let mut table = table(now, 8.0, 1.0);
                let alter: fn(&mut DemandTable) = $alter;
                alter(&mut table);
                assert_eq!(planner.plan(now, &fleet(6, 6), &table), []);
            }
        }
    )*};
}

unusable_demand_cases! {
    stale_demand_causes_no_changes: |it| it.as_of = it.as_of - Duration::from_secs(30);
    incomplete_demand_causes_no_changes: |it| it.heard = 1;
    an_empty_table_causes_no_changes: |it| *it = DemandTable::default();
}

#[test]
fn a_phase_without_engines_gets_one_even_if_demand_is_unknown() {
    let mut fleet = fleet(3, 3);
    fleet.engines.iter_mut().filter(|it| it.role == Role::Decode).for_each(|it| it.live = false);
    let mut planner = RolePlanner::new(Preference::FewRoleChanges);
    let changes = planner.plan(Time::from_millis(1), &fleet, &DemandTable::default());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, Role::Decode);
}

#[test]
fn the_only_engine_of_a_model_serves_both_phases() {
    let fleet = Fleet { engines: vec![engine(0, Role::Decode)] };
    let mut planner = RolePlanner::new(Preference::Goodput);
    let changes = planner.plan(Time::from_millis(1), &fleet, &DemandTable::default());
    assert_eq!(changes.iter().map(|it| it.role).collect::<Vec<_>>(), [Role::Mixed]);
}

#[test]
fn demand_is_measured_and_merged() {
    let class = ClassName::try_from("clerk-question").unwrap();
    let costs = UnitCosts {
        prompt_token: Some(Duration::from_micros(100)),
        output_token: Some(Duration::from_micros(500)),
    };
    let mut tables = (0..2).map(|_| {
        let mut meter = DemandMeter::new();
        meter.record_response(&class, 200);
        meter.record_arrival(&model(), &class, Precedence::Interactive, 10_000, 1_000);
        meter.table(Time::from_millis(1_000), [costs].into_iter())
    });
    let mut sum = DemandTable::default();
    tables.by_ref().for_each(|it| sum.merge(&it));
    let demand = sum.models[&model()];
    assert!((demand.prefill - 2.0).abs() < 1e-6, "{demand:?}");
    assert!((demand.decode - 0.2).abs() < 1e-6, "{demand:?}");
    assert_eq!((sum.heard, sum.expected), (2, 2));
}
