//! Who may acquire a lease after a release, a return of the store from an older copy, and a step-down.

use daisychute_core::{Era, Incarnation, ProcessName, Term, Time};
use daisychute_store::{
    Holder, Lease, LeaseAction, LeaseEvent, LeaseRecord, LeaseSettings, Object, ReadOutcome,
    ResourceVersion, WriteId, WriteOutcome,
};
use serde_json::json;

/// Time after which a record that doesn't change is certainly expired: the default duration and margin, and a poll.
const EXPIRY_MS: u64 = 10_000;

/// What a copy of the store has.
#[derive(Clone, Default)]
struct Content {
    object: Option<Object>,
    revision: u64,
}

/// An object store with one lease object. Like the platform's, it checks the revision of a write and not the era.
#[derive(Default)]
struct Store {
    content: Content,
    era: u64,
}

impl Store {
    fn era(&self) -> Era {
        Era::new(self.era)
    }

    fn read(&self) -> ReadOutcome {
        self.content.object.clone().map_or(ReadOutcome::Missing, ReadOutcome::Found)
    }

    fn write(&mut self, object: Object) -> WriteOutcome {
        let revision = |it: &Object| {
            let version = it.metadata.resource_version.as_ref()?;
            version.as_str().split_once('.').map(|it| it.1.to_owned())
        };
        if self.content.object.as_ref().and_then(revision) != revision(&object) {
            return WriteOutcome::Conflict;
        }
        self.content.revision += 1;
        let version = format!("{}.{}", self.era, self.content.revision);
        let version = ResourceVersion::from(version.as_str());
        self.content.object = Some(object.version(version.clone()));
        WriteOutcome::Done(version)
    }

    /// Returns to a copy, whose object is then read in the new era.
    fn restore(&mut self, copy: &Content) {
        self.era += 1;
        self.content = copy.clone();
        let version = format!("{}.{}", self.era, self.content.revision);
        let version = ResourceVersion::from(version.as_str());
        self.content.object = self.content.object.take().map(|it| it.version(version));
    }

    fn record(&self) -> LeaseRecord {
        self.content.object.as_ref().and_then(|it| it.parse().ok()).expect("a lease record")
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
                LeaseAction::Read => {
                    events.push(LeaseEvent::Read { era: store.era(), outcome: store.read() });
                }
                LeaseAction::Write(object) => {
                    let outcome = store.write(object);
                    events.push(LeaseEvent::Written { era: store.era(), outcome });
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

/// How far the copy reaches from which the store is restored. `a` holds the lease, releases it, and `b` acquires it.
#[derive(Debug, Clone, Copy)]
enum CopyOf {
    /// Before `a` acquired it.
    Missing,
    /// While `a` held it.
    Held,
    /// After `a` released it.
    Free,
}

/// Time of the return in ms; `b` acquired the lease half a second before and holds it.
const RETURN_MS: u64 = 1_000;

/// A store that was restored, with the processes that are left of the former era.
struct Restored {
    store: Store,
    /// It released the lease and has heard nothing since.
    a: Lease,
    /// It holds the lease.
    b: Lease,
}

impl Restored {
    fn from(copy: CopyOf) -> Self {
        let (mut store, mut a, mut b) = (Store::default(), lease("a", 1), lease("b", 2));
        let missing = store.content.clone();
        assert_eq!(acquire(&mut a, &mut store, 0), Some(0));
        let held = store.content.clone();
        pass(&mut a, &mut store, 400, LeaseEvent::Eligible(false));
        pass(&mut a, &mut store, 400, LeaseEvent::StepDown);
        let free = store.content.clone();
        assert_eq!(acquire(&mut b, &mut store, 500), Some(0));
        let content = match copy {
            CopyOf::Missing => missing,
            CopyOf::Held => held,
            CopyOf::Free => free,
        };
        store.restore(&content);
        Self { store, a, b }
    }

    /// The term under which `b` acted.
    fn term_of_b(&self) -> Term {
        self.b.held_term(Time::from_millis(RETURN_MS)).expect("b holds the lease")
    }
}

fn is_after_expiry(after_ms: u64) -> bool {
    let LeaseSettings { duration, margin, .. } = LeaseSettings::default();
    u128::from(after_ms) >= (duration + margin).as_millis()
}

macro_rules! returns {
    ($($name:ident: $copy:ident, $process:expr;)*) => {$(
        // Guards against a fencing token of another process that the store has forgotten, and against two holders at once.
        #[test]
        fn $name() {
            let mut restored = Restored::from(CopyOf::$copy);
            let used = restored.term_of_b();
            let process: fn(&mut Restored) -> Lease = $process;
            let mut process = process(&mut restored);
            let store = &mut restored.store;
            let after_ms = acquire(&mut process, store, RETURN_MS).expect("it acquires the lease");
            assert!(is_after_expiry(after_ms), "acquired after {after_ms} ms");
            let term = process.held_term(Time::from_millis(RETURN_MS + after_ms));
            assert!(term > Some(used), "{term:?} after {used}");
        }
    )*};
}

returns! {
    restarted_process_after_a_return_to_a_free_lease: Free, |_| lease("a", 3);
    restarted_process_after_a_return_to_its_held_lease: Held, |_| lease("a", 3);
    restarted_process_after_a_return_to_no_lease: Missing, |_| lease("a", 3);
    restarted_holder_after_a_return_to_a_free_lease: Free, |_| lease("b", 3);
    restarted_holder_after_a_return_to_a_held_lease: Held, |_| lease("b", 3);
    restarted_holder_after_a_return_to_no_lease: Missing, |_| lease("b", 3);
    process_that_missed_the_last_term_after_a_return_to_a_free_lease: Free, |it| std::mem::replace(&mut it.a, lease("x", 9));
    process_that_missed_the_last_term_after_a_return_to_a_held_lease: Held, |it| std::mem::replace(&mut it.a, lease("x", 9));
    process_that_missed_the_last_term_after_a_return_to_no_lease: Missing, |it| std::mem::replace(&mut it.a, lease("x", 9));
}

macro_rules! holders {
    ($($name:ident: $copy:ident => $acquires:ident,)*) => {$(
        // Guards against a holder that acts on though the store has forgotten it, or with its former token.
        #[test]
        fn $name() {
            let Restored { mut store, mut b, .. } = Restored::from(CopyOf::$copy);
            let now = Time::from_millis(RETURN_MS);
            let used = b.held_term(now);
            let mut out = Vec::new();
            b.handle(now, LeaseEvent::EraSeen(store.era()), &mut out);
            assert_eq!(b.held_term(now), None, "it stops at once");
            // The call that `handle` started.
            let event = LeaseEvent::Read { era: store.era(), outcome: store.read() };
            pass(&mut b, &mut store, RETURN_MS, event);
            let acquired_at_once = b.held_term(now).is_some();
            assert_eq!(acquired_at_once, Acquires::$acquires == Acquires::AtOnce);
            let after_ms = acquire(&mut b, &mut store, RETURN_MS).expect("it acquires the lease");
            assert!(b.held_term(Time::from_millis(RETURN_MS + after_ms)) > used);
            assert!(acquired_at_once || is_after_expiry(after_ms));
        }
    )*};
}

holders! {
    holder_goes_on_after_a_return_to_a_free_lease: Free => AtOnce,
    holder_goes_on_after_a_return_to_no_lease: Missing => AtOnce,
    holder_waits_after_a_return_to_the_lease_of_another: Held => AfterExpiry,
}

// Guards against processes that each draw the first term of the era: of all that are new, one acquires it.
#[test]
fn processes_that_are_all_new_after_a_return_use_different_terms() {
    for copy in [CopyOf::Missing, CopyOf::Held, CopyOf::Free] {
        let restored = Restored::from(copy);
        let mut terms = vec![restored.term_of_b()];
        let mut store = restored.store;
        let mut now_ms = RETURN_MS;
        for (incarnation, process) in (3..).zip(["a", "b", "a", "b"]) {
            let mut process = lease(process, incarnation);
            now_ms += acquire(&mut process, &mut store, now_ms).expect("it acquires the lease");
            terms.extend(process.held_term(Time::from_millis(now_ms)));
            now_ms += 100;
            pass(&mut process, &mut store, now_ms, LeaseEvent::Release);
        }
        assert!(terms.is_sorted_by(|a, b| a < b), "{copy:?}: {terms:?}");
    }
}

// Guards against the order B, A, B: the first holder of an era is not known to follow any other.
#[test]
fn process_that_may_have_acted_before_the_return_waits_after_the_first_holder() {
    let Restored { mut store, b, .. } = Restored::from(CopyOf::Free);
    let mut a = lease("a", 3);
    let after_ms = acquire(&mut a, &mut store, RETURN_MS).expect("it acquires the lease");
    let now_ms = RETURN_MS + after_ms;
    pass(&mut a, &mut store, now_ms, LeaseEvent::Release);
    drop(b);
    let after_ms = acquire(&mut lease("b", 4), &mut store, now_ms).expect("it acquires the lease");
    assert!(is_after_expiry(after_ms), "acquired after {after_ms} ms");
}

// Guards against a write of an earlier era that takes effect in a store where its condition holds again.
#[test]
fn write_that_takes_effect_after_a_return_acquires_nothing() {
    let (mut store, mut a, mut c) = (Store::default(), lease("a", 1), lease("c", 2));
    assert_eq!(acquire(&mut a, &mut store, 0), Some(0));
    pass(&mut a, &mut store, 400, LeaseEvent::Release);
    let copy = store.content.clone();
    let now = Time::from_millis(500);
    let mut out = Vec::new();
    c.handle(now, LeaseEvent::Eligible(true), &mut out);
    let read = LeaseEvent::Read { era: store.era(), outcome: store.read() };
    c.handle(now, read, &mut out);
    store.restore(&copy);
    let write = out.into_iter().find_map(|it| match it {
        LeaseAction::Write(object) => Some(object),
        _ => None,
    });
    let outcome = store.write(write.expect("c acquires a free lease"));
    assert!(matches!(outcome, WriteOutcome::Done(_)), "the store can't tell");
    let written = LeaseEvent::Written { era: store.era(), outcome };
    pass(&mut c, &mut store, 500, written);
    assert_eq!(c.held_term(now), None);
    let after_ms = acquire(&mut c, &mut store, 500).expect("it acquires the lease");
    assert!(is_after_expiry(after_ms), "acquired after {after_ms} ms");
    assert_eq!(c.held_term(Time::from_millis(500 + after_ms)).map(Term::era), Some(store.era()));
}

// Guards against an answer from before the return, which arrives after another one has told the new era.
#[test]
fn late_answer_of_an_earlier_era_acquires_nothing() {
    let Restored { store, mut a, .. } = Restored::from(CopyOf::Free);
    let (now, mut out) = (Time::from_millis(RETURN_MS), Vec::new());
    let late = store.read();
    a.handle(now, LeaseEvent::Eligible(true), &mut out);
    a.handle(now, LeaseEvent::EraSeen(store.era()), &mut out);
    a.handle(now, LeaseEvent::Read { era: Era::ZERO, outcome: late }, &mut out);
    assert!(!out.iter().any(|it| matches!(it, LeaseAction::Write(_))), "{out:?}");
}

// Guards against tokens that fall in a rolling update: older builds count on from any term.
#[test]
fn terms_of_older_builds_are_lower_and_those_they_count_on_stay_in_order() {
    let (mut store, mut new) = (Store { era: 2, ..Store::default() }, lease("c", 2));
    let record = json!({ "holder": null, "term": 3, "duration_ms": 6_000 });
    let object = Object::new(daisychute_store::ObjectKind::Leases, "usage-report", record);
    assert!(matches!(store.write(object), WriteOutcome::Done(_)));
    let after_ms = acquire(&mut new, &mut store, 0).expect("it acquires the lease");
    let term = new.held_term(Time::from_millis(after_ms)).expect("it holds the lease");
    assert!(term > Term::new(3));
    let next = term.next();
    assert_eq!((next.era(), next > term), (Era::new(2), true));
}
