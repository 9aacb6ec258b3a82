//! Golden files of whole sessions.

mod world;

use std::time::Duration;

use daisychute_core::TenantName;
use daisychute_ledger::{CallKey, LedgerLimits, OwnerTimes};
use world::World;
use world::schedule::{KeyKind, Step};

fn world(tenant: &str) -> World {
    let mut world = World::with_times(20, LedgerLimits::default(), OwnerTimes::default());
    world.tenant = TenantName::try_from(tenant).expect("a name");
    world.log = Some(Vec::new());
    world
}

fn call(world: &mut World, entry: usize, key: &CallKey) {
    let id = world.call(entry, key, b"+1");
    world.run_for(Duration::from_secs(1));
    if world.requests[&id].outcome.is_none() {
        world.note(|| format!("{id} has no answer"));
    }
}

fn new_key(world: &mut World) -> CallKey {
    world.new_key(0, KeyKind::Dated(0))
}

fn log(world: World) -> String {
    world.log.unwrap_or_default().join("\n")
}

#[test]
fn barrier_count_through_an_owner_crash() {
    let mut world = world("rabat-sale");
    let first = new_key(&mut world);
    call(&mut world, 0, &first);
    let owner = world.owner_of(&first).expect("an owner");
    world.note(|| "the owner crashes; the count is repeated through the other entry".to_owned());
    world.step(Step::KillAgent(owner));
    call(&mut world, 1, &first);
    world.run_for(Duration::from_secs(45));
    world.note(|| "the slots have another owner".to_owned());
    call(&mut world, 1, &first);
    let second = world.key_of_same_owner(&first);
    call(&mut world, 1, &second);
    world.run_for(Duration::from_secs(11));
    let third = world.new_key(0, KeyKind::Dated(0));
    call(&mut world, 1, &third);
    call(&mut world, 0, &third);
    insta::assert_snapshot!(log(world));
}

#[test]
fn confirmation_repeated_during_an_outage() {
    let mut world = world("egyezteto");
    let first = new_key(&mut world);
    call(&mut world, 0, &first);
    world.step(Step::Outage(true));
    world.run_for(Duration::from_secs(60));
    world.note(|| "both entries say that they have not revoked the lease".to_owned());
    call(&mut world, 1, &first);
    let second = new_key(&mut world);
    call(&mut world, 0, &second);
    call(&mut world, 1, &second);
    let owner = world.owner_of(&second).expect("an owner");
    world.step(Step::CutLink(0, owner, true));
    world.run_for(Duration::from_secs(20));
    world.note(|| "one of the two entries can't be asked any more".to_owned());
    call(&mut world, 1, &second);
    let third = world.key_of_same_owner(&second);
    call(&mut world, 1, &third);
    world.step(Step::Outage(false));
    world.step(Step::CutLink(0, owner, false));
    world.run_for(Duration::from_secs(90));
    call(&mut world, 0, &third);
    call(&mut world, 1, &third);
    insta::assert_snapshot!(log(world));
}
