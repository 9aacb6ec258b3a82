//! Figures of the design notes.

mod world;

use std::time::{Duration, Instant};

use bytes::Bytes;
use daisychute_core::{Incarnation, RequestId, TenantName, Time};
use daisychute_ledger::{
    Answer, CallDigest, CallKey, LedgerAction, LedgerCore, LedgerEvent, LedgerLimits, NewCall,
    Standing, WallTime,
};
use world::World;
use world::schedule::Step;

#[test]
fn store_calls_of_an_owner() {
    const SECONDS: u64 = 1_000;
    let mut world = World::new(1, LedgerLimits::default());
    let before = [world.leases.calls, world.tables.calls];
    world.run_for(Duration::from_secs(SECONDS));
    // Three owners; the two entries read the table too, and the assigner reads it twice.
    let leases = world.leases.calls - before[0];
    let tables = world.tables.calls - before[1];
    println!(
        "store calls of 3 owners and 2 entries in {SECONDS} s: leases {leases}, tables {tables}"
    );
    assert!(leases <= 3 * SECONDS / 5 + 3);
}

#[test]
fn events_and_bytes_of_a_ledger() {
    const CALLS: u64 = 20_000;
    let tenant = TenantName::try_from("egyezteto").expect("a name");
    let mut ledger = LedgerCore::new(LedgerLimits::default());
    let mut out = Vec::new();
    let began = Instant::now();
    for seq in 0..CALLS {
        let key =
            CallKey::from_caller(tenant.clone(), &format!("payment-{seq:028}")).expect("a key");
        let call = NewCall {
            waiter: RequestId::new(Incarnation::new(1), seq),
            key: key.clone(),
            digest: CallDigest::of("POST", "/confirm", b"{}"),
            standing: Standing::Owner { floor: None },
            wall: WallTime::from_millis(0),
        };
        ledger.handle(Time::from_millis(seq), LedgerEvent::Call(call), &mut out);
        let body = Bytes::from(vec![b'x'; 200]);
        let answer = Answer { status: 200, content_type: None, body };
        ledger.handle(Time::from_millis(seq), LedgerEvent::Answered { key, answer }, &mut out);
        out.clear();
    }
    let rate = 2.0 * CALLS as f64 / began.elapsed().as_secs_f64();
    let bytes = ledger.bytes() as f64 / CALLS as f64;
    println!("{rate:.0} events/s; {bytes:.0} bytes a record counted, answers of 200 bytes");
    ledger.handle(Time::from_millis(10_000_000), LedgerEvent::Tick, &mut out);
    assert!(ledger.is_empty());
    assert!(!out.iter().any(|it| matches!(it, LedgerAction::Refuse { .. })));
}

#[test]
fn owners_do_not_change_without_a_fault() {
    let mut world = World::new(1, LedgerLimits::default());
    world.step(Step::KillAgent(1));
    world.step(Step::PauseAgent(2, 45));
    world.run_for(Duration::from_secs(200));
    let changes = world.changes_of_owner();
    world.run_for(Duration::from_secs(1_000));
    println!("{changes} changes of owner after two faults");
    assert_eq!(world.changes_of_owner(), changes);
}
