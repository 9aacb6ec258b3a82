//! At most once under random schedules of calls and faults.

mod world;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use daisychute_core::{Refusal, RefusalReason, Verdict};
use daisychute_ledger::{LedgerLimits, OwnerTimes};
use quickcheck::{Gen, QuickCheck};
use world::schedule::{KeyKind, Schedule, Step};
use world::{Outcome, World};

/// The seed of the schedules; a failure prints the schedule and the seed of its delays besides.
const SEED: u64 = 0x5EED_0001;
const CASES: u64 = 5_000;
const TAKEOVERS: u64 = 250;

fn limits() -> LedgerLimits {
    LedgerLimits { retention: Duration::from_secs(600), ..LedgerLimits::default() }
}

/// Every invariant that holds at any time.
fn check(world: &World) -> Result<(), String> {
    let mut runs = BTreeMap::new();
    for (at, it) in world.executions.iter().enumerate() {
        if let Some(first) = runs.insert(&it.key, at) {
            return Err(format!("{} ran twice, as {first} and {at}", it.key.as_str()));
        }
    }
    for (id, request) in &world.requests {
        let run = runs.get(&request.key).copied();
        match &request.outcome {
            Some(Outcome::Answered { body, .. }) => {
                let expected = run.map(|it| format!("done-{it}"));
                if expected.as_deref().map(str::as_bytes) != Some(&body[..]) {
                    return Err(format!("{id} got {body:?} instead of {expected:?}"));
                }
                let by = run.map(|it| world.requests[&world.executions[it].by].body);
                if by != Some(request.body) {
                    return Err(format!("{id} got the answer to another body"));
                }
            }
            Some(Outcome::Refused(Refusal { verdict: Verdict::NotRun, .. }))
                if world.executions.iter().any(|it| it.by == *id) =>
            {
                return Err(format!("{id} was refused as not_run and ran"));
            }
            _ => {}
        }
    }
    Ok(())
}

/// What the schedules reached, so that they prove something.
#[derive(Debug, Clone, Copy, Default)]
struct Reached {
    runs: usize,
    replayed: usize,
    not_run: usize,
    unknown: usize,
    key_reused: usize,
    changes_of_owner: u64,
}

thread_local! {
    static REACHED: Cell<Reached> = Cell::default();
}

impl Reached {
    fn add(mut self, world: &World) -> Self {
        self.runs += world.executions.len();
        self.changes_of_owner += world.changes_of_owner();
        for it in world.requests.values() {
            match &it.outcome {
                Some(Outcome::Answered { replayed: true, .. }) => self.replayed += 1,
                Some(Outcome::Refused(it)) if it.reason == RefusalReason::KeyReused => {
                    self.key_reused += 1;
                }
                Some(Outcome::Refused(it)) if it.verdict == Verdict::NotRun => self.not_run += 1,
                Some(Outcome::Refused(_)) => self.unknown += 1,
                _ => {}
            }
        }
        self
    }

    fn is_enough(self) -> bool {
        let cases = usize::try_from(CASES).unwrap_or_default();
        let refused = self.not_run.min(self.unknown).min(self.key_reused);
        let changes = usize::try_from(self.changes_of_owner).unwrap_or_default();
        self.runs > cases
            && self.replayed > cases / 4
            && refused > cases / 20
            && changes > cases / 2
    }
}

/// After every fault has ended: new calls are answered, and later nothing is remembered.
fn check_end(mut world: World) -> Result<(), String> {
    world.heal();
    let key = world.new_key(0, KeyKind::Dated(0));
    let id = world.call(1, &key, b"a");
    world.run_for(Duration::from_secs(5));
    if !matches!(world.requests[&id].outcome, Some(Outcome::Answered { .. })) {
        return Err(format!("not available again: {:?}", world.requests[&id].outcome));
    }
    check(&world)?;
    world.pass_retention();
    if world.requests.len().is_multiple_of(8) {
        check_leases(&mut world)?;
    }
    match world.agents().find(|it| !it.ledger().is_empty() || it.ledger().bytes() != 0) {
        Some(it) => Err(format!("{} keeps {} bytes", it.owner().id(), it.ledger().bytes())),
        None => Ok(()),
    }
}

/// Later yet, no lease of an earlier owner is left on the platform.
fn check_leases(world: &mut World) -> Result<(), String> {
    world.run_for(Duration::from_secs(110));
    match world.leases.len() {
        leases if leases == world.agents().count() => Ok(()),
        leases => Err(format!("{leases} leases are left")),
    }
}

fn run(schedule: &Schedule, base: &[Step], limits: LedgerLimits) -> Result<(), String> {
    let mut world = World::new(schedule.seed, limits);
    base.iter().for_each(|it| world.step(*it));
    schedule.steps.iter().for_each(|it| world.step(*it));
    check(&world)?;
    REACHED.set(REACHED.get().add(&world));
    check_end(world)
}

macro_rules! schedules {
    ($($(#[$doc:meta])* $name:ident: $base:expr, $number:literal;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property(schedule: Schedule) -> Result<bool, String> {
                run(&schedule, $base, limits()).map(|()| true)
            }
            let rng = Gen::from_size_and_seed(100, SEED + $number);
            println!("seed {}", SEED + $number);
            let property: fn(Schedule) -> Result<bool, String> = property;
            QuickCheck::new().rng(rng).tests(CASES).quickcheck(property);
            println!("{:?}", REACHED.get());
            assert!(REACHED.get().is_enough());
        }
    )*};
}

schedules! {
    holds_from_a_quiet_start: &[], 0;
    holds_on_a_rough_network: &[Step::RoughNetwork(true)], 1;
    holds_on_a_lossy_platform: &[Step::LossyPlatform(true)], 2;
    holds_with_two_assigners: &[Step::SecondAssigner(true), Step::RoughNetwork(true)], 3;
}

/// Calls go to an owner through one entry while the other entry takes its slots away; later every key is repeated
/// through that other entry.
fn through_a_takeover(seed: u64, agent: u8, faults: &[Step]) -> Result<(), String> {
    // Longer than the pauses, so that promises could still count after one.
    let times = OwnerTimes { orphan: Duration::from_secs(45), ..OwnerTimes::default() };
    let mut world = World::with_times(seed, limits(), times);
    world.step(Step::Wait(u8::try_from(seed % 24).unwrap_or_default()));
    world.step(Step::CutEntry(1, true));
    faults.iter().for_each(|it| world.step(*it));
    for second in 0..70_i8 {
        let skew = i8::try_from(seed.wrapping_mul(7 + second as u64) % 48).unwrap_or_default();
        let kind = match second % 4 {
            0 => KeyKind::Ageless,
            1 => KeyKind::Dated(6),
            _ => KeyKind::Dated(skew - 8),
        };
        world.step(Step::Call { entry: 1, kind });
        world.run_for(Duration::from_millis(700));
        if second == 35 {
            repeat_all(&mut world);
        }
    }
    world.run_for(Duration::from_secs(60));
    repeat_all(&mut world);
    check(&world)?;
    match world.owned_by(agent) {
        0 => check_end(world),
        slots => Err(format!("{slots} slots were not taken over")),
    }
}

fn repeat_all(world: &mut World) {
    (0..70).for_each(|back| world.step(Step::Repeat { entry: 0, back, other_body: false }));
    world.run_for(Duration::from_secs(1));
}

macro_rules! takeovers {
    ($($(#[$doc:meta])* $name:ident: |$agent:ident, $seed:ident| $faults:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            fn property($seed: u64, $agent: u8) -> Result<bool, String> {
                through_a_takeover($seed, $agent, &$faults).map(|()| true)
            }
            let property: fn(u64, u8) -> Result<bool, String> = property;
            let rng = Gen::from_size_and_seed(100, SEED);
            QuickCheck::new().rng(rng).tests(TAKEOVERS).quickcheck(property);
        }
    )*};
}

takeovers! {
    /// The owner is cut from the platform and from one entry, but not from the other.
    holds_when_the_owner_is_cut_off: |agent, _seed| [Step::CutPlatform(agent, true), Step::CutLink(0, agent, true)];
    /// The owner is stopped past its lease and then goes on with what reached it meanwhile.
    holds_when_the_owner_is_paused: |agent, _seed| [Step::PauseAgent(agent, 45)];
    /// The owner is cut from the platform, stopped, and then goes on with both entries.
    holds_when_the_owner_is_paused_and_cut_off: |agent, _seed| [
        Step::CutPlatform(agent, true), Step::PauseAgent(agent, 30),
    ];
    /// The owner has just renewed its lease when it is revoked, and can't learn of it.
    holds_when_the_lease_is_revoked_early: |agent, seed| [
        Step::CutLink(0, agent, true),
        Step::Wait(16 + u8::try_from(seed % 24).unwrap_or_default()),
        Step::CutPlatform(agent, true),
    ];
}
