//! The role planner.

use std::time::Duration;

use daisychute_core::{
    ClassName, DataCentreName, EndpointName, ModelName, Precedence, Preference, Role, Time,
};
use daisychute_policy::{
    Demand, DemandMeter, DemandTable, EngineView, Fleet, RoleChange, RolePlanner, UnitCosts,
};

/// Ten minutes.
const ROUNDS: usize = 300;
const ROUND: Duration = Duration::from_secs(2);

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

/// Plays rounds with changes that take three of them. Gives the changes by round.
fn play(
    preference: Preference,
    mut fleet: Fleet,
    rounds: usize,
    demand: impl Fn(usize) -> (f64, f64),
) -> (Vec<(usize, RoleChange)>, Fleet) {
    let mut planner = RolePlanner::new(preference);
    let mut done: Vec<(usize, RoleChange)> = Vec::new();
    for round in 0..rounds {
        let now = Time::ZERO + ROUND * round as u32;
        let recent = |it: &EngineView| {
            done.iter().any(|(at, change)| change.endpoint == it.endpoint && round < at + 3)
        };
        let changing: Vec<bool> = fleet.engines.iter().map(recent).collect();
        for (engine, changing) in fleet.engines.iter_mut().zip(changing) {
            engine.changing = changing;
        }
        let (prefill, decode) = demand(round);
        for change in planner.plan(now, &fleet, &table(now, prefill, decode)) {
            let engine =
                fleet.engines.iter_mut().find(|it| it.endpoint == change.endpoint).unwrap();
            engine.role = change.role;
            done.push((round, change));
        }
    }
    (done, fleet)
}

fn count(fleet: &Fleet, role: Role) -> usize {
    fleet.engines.iter().filter(|it| it.live && it.role == role).count()
}

macro_rules! plan_cases {
    ($($name:ident: $preference:ident, $prefill:literal + $decode:literal, $demand:expr => $changes:expr, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let (changes, end) = play(Preference::$preference, fleet($prefill, $decode), ROUNDS, $demand);
            let wanted: std::ops::RangeInclusive<usize> = $changes;
            assert!(wanted.contains(&changes.len()), "{changes:?}");
            let roles = (count(&end, Role::Prefill), count(&end, Role::Decode));
            assert!($expected.contains(&roles), "{roles:?}");
        }
    )*};
}

plan_cases! {
    a_balanced_fleet_stays: Goodput, 6 + 6, |_| (3.5, 3.5) => 0..=0, [(6, 6)];
    capacity_follows_a_lasting_lean: Goodput, 6 + 6, |_| (7.0, 2.0) => 2..=4, [(8, 4), (9, 3), (10, 2)];
    capacity_follows_the_other_way: Goodput, 6 + 6, |_| (2.0, 7.0) => 2..=4, [(4, 8), (3, 9), (2, 10)];
    few_changes_take_more_to_move: FewRoleChanges, 6 + 6, |_| (4.6, 3.0) => 0..=0, [(6, 6)];
    few_changes_follow_what_lasts: FewRoleChanges, 6 + 6, |_| (8.0, 1.5) => 2..=4, [(8, 4), (9, 3), (10, 2)];
    a_square_wave_of_ten_seconds_is_let_pass: Goodput, 6 + 6,
        |round| if round / 5 % 2 == 0 { (5.5, 2.5) } else { (2.5, 5.5) } => 0..=2, [(6, 6), (7, 5), (5, 7)];
    both_phases_keep_their_floor: Goodput, 6 + 6, |_| (30.0, 0.0) => 1..=4, [(9, 3), (10, 2)];
}

macro_rules! blind_cases {
    ($($name:ident: $change:expr;)*) => {$(
        /// Demand that would change roles is no ground for it while the picture is old or partial.
        #[test]
        fn $name() {
            let mut planner = RolePlanner::new(Preference::Goodput);
            for round in 0..60 {
                let now = Time::from_millis(60_000) + ROUND * round;
                let mut table = table(now, 8.0, 1.0);
                let change: fn(&mut DemandTable) = $change;
                change(&mut table);
                assert_eq!(planner.plan(now, &fleet(6, 6), &table), []);
            }
        }
    )*};
}

blind_cases! {
    an_old_picture_changes_nothing: |it| it.as_of = it.as_of - Duration::from_secs(30);
    a_partial_picture_changes_nothing: |it| it.heard = 1;
    no_picture_changes_nothing: |it| *it = DemandTable::default();
}

#[test]
fn a_phase_that_lost_all_its_engines_gets_one_without_any_demand_known() {
    let mut fleet = fleet(3, 3);
    fleet.engines.iter_mut().filter(|it| it.role == Role::Decode).for_each(|it| it.live = false);
    let mut planner = RolePlanner::new(Preference::FewRoleChanges);
    let changes = planner.plan(Time::from_millis(1), &fleet, &DemandTable::default());
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].role, Role::Decode);
}

#[test]
fn the_last_engine_does_both_phases() {
    let fleet = Fleet { engines: vec![engine(0, Role::Decode)] };
    let mut planner = RolePlanner::new(Preference::Goodput);
    let changes = planner.plan(Time::from_millis(1), &fleet, &DemandTable::default());
    assert_eq!(changes.iter().map(|it| it.role).collect::<Vec<_>>(), [Role::Mixed]);
}

#[test]
fn demand_is_metered_and_merged() {
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
