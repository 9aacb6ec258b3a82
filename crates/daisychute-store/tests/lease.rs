//! Who may acquire a lease after a release, a return of the store from an older copy, and a step-down.

use daisychute_core::{Incarnation, ProcessName, Term, Time};
use daisychute_store::{
    Holder, Lease, LeaseAction, LeaseEvent, LeaseRecord, LeaseSettings, Object, ReadOutcome,
    ResourceVersion, WriteId, WriteOutcome,
};
use serde_json::json;

/// Time after which a record that doesn't change is certainly expired: the default duration and margin, and a poll.
const EXPIRY_MS: u64 = 10_000;

/// An object store with one lease object.
#[derive(Default)]
struct Store {
    object: Option<Object>,
    version: u64,
}

impl Store {
    fn read(&self) -> ReadOutcome {
        self.object.clone().map_or(ReadOutcome::Missing, ReadOutcome::Found)
    }

    fn write(&mut self, object: Object) -> WriteOutcome {
        let stored = self.object.as_ref().and_then(|it| it.metadata.resource_version.as_ref());
        if stored != object.metadata.resource_version.as_ref() {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        let version = ResourceVersion::from(self.version.to_string().as_str());
        self.object = Some(object.version(version.clone()));
        WriteOutcome::Done(version)
    }

    fn record(&self) -> LeaseRecord {
        self.object.as_ref().and_then(|it| it.parse().ok()).expect("a lease record")
    }
}

fn name(process: &str) -> ProcessName {
    ProcessName::try_from(process).expect("a valid name")
}

fn lease(process: &str, incarnation: u64) -> Lease {
    let holder = Holder { process: name(process), incarnation: Incarnation::new(incarnation) };
    let write_id = WriteId::first(format!("{process}/{incarnation}"));
    Lease::new(LeaseSettings::default(), "usage-report", holder, write_id, incarnation)
}

/// Passes an event to a lease and executes its calls of the store.
fn pass(lease: &mut Lease, store: &mut Store, at_ms: u64, event: LeaseEvent) {
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        let mut out = Vec::new();
        lease.handle(Time::from_millis(at_ms), event, &mut out);
        for action in out {
            match action {
                LeaseAction::Read => events.push(LeaseEvent::Read(store.read())),
                LeaseAction::Write(object) => {
                    events.push(LeaseEvent::Written(store.write(object)));
                }
                _ => {}
            }
        }
    }
}

/// Lets a lease try to acquire from `at_ms` on. Returns after how many milliseconds it held the lease.
fn acquire(lease: &mut Lease, store: &mut Store, at_ms: u64) -> Option<u64> {
    pass(lease, store, at_ms, LeaseEvent::Eligible(true));
    (0..EXPIRY_MS).step_by(50).find(|after| {
        pass(lease, store, at_ms + after, LeaseEvent::Tick);
        lease.held_term(Time::from_millis(at_ms + after)).is_some()
    })
}

/// A store in which `a` held the lease, then `b`, which released it at `at_ms`.
fn released_by_b(at_ms: u64) -> (Store, Lease) {
    let (mut store, mut a, mut b) = (Store::default(), lease("a", 1), lease("b", 2));
    assert_eq!(acquire(&mut a, &mut store, 0), Some(0));
    pass(&mut a, &mut store, at_ms - 200, LeaseEvent::StepDown);
    assert_eq!(acquire(&mut b, &mut store, at_ms - 100), Some(0));
    pass(&mut b, &mut store, at_ms, LeaseEvent::Release);
    pass(&mut a, &mut store, at_ms, LeaseEvent::Eligible(false));
    (store, a)
}

/// How long the acquisition of a lease takes.
#[derive(Debug, PartialEq)]
enum Acquires {
    AtOnce,
    /// After the whole duration and margin.
    AfterExpiry,
}

macro_rules! acquisitions {
    ($($name:ident: $start:expr => $acquires:ident,)*) => {$(
        #[test]
        fn $name() {
            let (mut store, mut lease) = $start;
            let after_ms = acquire(&mut lease, &mut store, 1_000).expect("it acquires the lease");
            let LeaseSettings { duration, margin, .. } = LeaseSettings::default();
            let acquires = match u128::from(after_ms) {
                0 => Acquires::AtOnce,
                it if it >= (duration + margin).as_millis() => Acquires::AfterExpiry,
                it => panic!("acquired after {it} ms"),
            };
            assert_eq!(acquires, Acquires::$acquires);
        }
    )*};
}

acquisitions! {
    // Guards against the order A, B, A within the duration of a lease, also over a restart of A.
    previous_holder_waits_after_a_release: released_by_b(1_000) => AfterExpiry,
    restarted_previous_holder_waits_after_a_release: (released_by_b(1_000).0, lease("a", 3)) => AfterExpiry,
    third_process_acquires_a_released_lease: (released_by_b(1_000).0, lease("c", 3)) => AtOnce,
    restarted_last_holder_acquires_its_released_lease: (released_by_b(1_000).0, lease("b", 3)) => AtOnce,
    // Guards against two holders after the store returned from a copy that lacks the later one.
    record_older_than_a_seen_term_waits: {
        let (mut store, _) = released_by_b(1_000);
        let mut c = lease("c", 3);
        pass(&mut c, &mut store, 1_000, LeaseEvent::TermSeen(Term::new(9)));
        (store, c)
    } => AfterExpiry,
    missing_record_waits_if_a_term_was_seen: {
        let (mut store, mut c) = (Store::default(), lease("c", 3));
        pass(&mut c, &mut store, 1_000, LeaseEvent::TermSeen(Term::new(9)));
        (store, c)
    } => AfterExpiry,
}

// Guards against a third holder that hides which process acted before it.
#[test]
fn record_names_the_previous_holder() {
    let (mut store, _) = released_by_b(1_000);
    let released = store.record();
    assert_eq!((released.previous, released.released_by), (Some(name("a")), Some(name("b"))));
    let mut c = lease("c", 3);
    assert_eq!(acquire(&mut c, &mut store, 1_000), Some(0));
    let held = store.record();
    assert_eq!((held.previous, held.released_by), (Some(name("b")), None));
    assert!(held.term > released.term);
}

// Guards against a process that steps down and is then shut out, or acts on.
#[test]
fn step_down_releases_the_lease_until_it_is_acquired_again() {
    let (mut store, mut a) = (Store::default(), lease("a", 1));
    assert_eq!(acquire(&mut a, &mut store, 0), Some(0));
    pass(&mut a, &mut store, 100, LeaseEvent::Eligible(false));
    pass(&mut a, &mut store, 100, LeaseEvent::StepDown);
    assert_eq!(a.held_term(Time::from_millis(100)), None);
    assert_eq!(store.record().released_by, Some(name("a")));
    assert!(acquire(&mut a, &mut store, 200).is_some());
}

#[test]
fn record_of_an_older_build_is_read() {
    let raw = json!({ "holder": null, "term": 3, "duration_ms": 6_000 });
    let record: LeaseRecord = serde_json::from_value(raw).expect("an older record");
    assert_eq!((record.previous, record.released_by), (None, None));
}
