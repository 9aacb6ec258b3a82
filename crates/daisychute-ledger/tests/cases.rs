//! Single cases that random schedules hardly reach.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisychute_core::{
    Incarnation, ProcessName, Refusal, RefusalReason, RequestId, TenantName, Time, Verdict,
};
use daisychute_ledger::{
    Answer, CallDigest, CallKey, EndedCall, Ending, HandOverPart, JobKeeper, JobLimits,
    KeeperAction, KeeperEvent, LedgerAction, LedgerCore, LedgerEvent, LedgerLimits, NewCall,
    OwnerAction, OwnerCore, OwnerEvent, OwnerId, OwnerLease, OwnerTable, OwnerTimes, ProcessId,
    PutResult, ReadResult, SegmentId, Slot, Standing, Stored, TakeoverAction, TakeoverCore,
    TakeoverEvent, Version, WallTime, WriteId,
};
use daisychute_proto::{Frame, HandOver};

const LIMITS: LedgerLimits = LedgerLimits {
    retention: Duration::from_secs(100),
    entry_key_retention: Duration::from_secs(10),
    refused_retention: Duration::from_secs(10),
    max_bytes: 2_000,
    max_answer_bytes: 1_000,
    max_refused: 2,
};

fn process(name: &str) -> ProcessId {
    ProcessId::new(ProcessName::try_from(name).expect("a name"), Incarnation::new(1))
}

fn key(text: &str) -> CallKey {
    CallKey::from_caller(TenantName::try_from("egyezteto").expect("a name"), text).expect("a key")
}

/// A UUIDv7 made so many seconds after time zero.
fn dated(secs: u64) -> CallKey {
    let millis = secs * 1_000;
    key(&format!("{:08x}-{:04x}-7000-8000-000000000001", millis >> 16, millis & 0xffff))
}

fn wall(secs: u64) -> WallTime {
    WallTime::from_millis(secs * 1_000)
}

const OWNER: Standing = Standing::Owner { floor: None };

const fn since(floor_secs: u64) -> Standing {
    Standing::Owner { floor: Some(WallTime::from_millis(floor_secs * 1_000)) }
}

macro_rules! admissions {
    ($($name:ident: $standing:expr, $key:expr, at $secs:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let admitted = $standing.admit(&$key, wall($secs), LIMITS.retention);
            assert_eq!(admitted.map_err(|it| it.verdict), $expected);
        }
    )*};
}

admissions! {
    new_key_of_an_owner: OWNER, dated(1_000), at 1_000 => Ok(());
    ageless_key_of_an_owner: OWNER, key("k"), at 1_000 => Ok(());
    key_a_little_ahead: OWNER, dated(1_005), at 1_000 => Ok(());
    key_too_far_ahead: OWNER, dated(1_006), at 1_000 => Err(Verdict::NotRun);
    key_whose_record_may_have_expired: OWNER, dated(905), at 1_000 => Err(Verdict::Unknown);
    key_whose_record_can_not_have_expired: OWNER, dated(916), at 1_000 => Ok(());
    key_older_than_the_loss: since(1_000), dated(990), at 1_030 => Err(Verdict::Unknown);
    // The old owner's clock was 5 s ahead of the floor's, and the key 5 s ahead of the old owner's.
    key_that_the_old_owner_may_have_run: since(1_000), dated(1_010), at 1_030 => Err(Verdict::Unknown);
    key_that_no_old_owner_ran: since(1_000), dated(1_011), at 1_030 => Ok(());
    ageless_key_after_a_loss: since(1_000), key("k"), at 1_109 => Err(Verdict::Unknown);
    ageless_key_long_after_a_loss: since(1_000), key("k"), at 1_111 => Ok(());
    lapsed_lease: Standing::Lapsed, dated(1_000), at 1_000 => Err(Verdict::NotRun);
    other_owner: Standing::NotOwner, dated(1_000), at 1_000 => Err(Verdict::NotRun);
}

/// Tells a ledger something and returns what it asks for, timers apart.
fn tell(ledger: &mut LedgerCore, secs: u64, event: LedgerEvent) -> Vec<LedgerAction> {
    let mut out = Vec::new();
    ledger.handle(Time::from_millis(secs * 1_000), event, &mut out);
    out.retain(|it| !matches!(it, LedgerAction::SetTimer(_)));
    out
}

fn waiter(seq: u64) -> RequestId {
    RequestId::new(Incarnation::new(1), seq)
}

fn call(seq: u64, text: &str) -> LedgerEvent {
    let digest = CallDigest::of("POST", "/counts", b"+1");
    let (waiter, key) = (waiter(seq), key(text));
    LedgerEvent::Call(NewCall { waiter, key, digest, standing: OWNER, wall: wall(0) })
}

fn answered(text: &str, bytes: usize) -> LedgerEvent {
    let body = Bytes::from(vec![b'x'; bytes]);
    LedgerEvent::Answered {
        key: key(text),
        answer: Answer { status: 200, content_type: None, body },
    }
}

fn refused(seq: u64, refusal: Refusal) -> Vec<LedgerAction> {
    vec![LedgerAction::Refuse { waiter: waiter(seq), refusal }]
}

#[test]
fn full_ledger_refuses_new_keys_and_forgets_none() {
    let mut ledger = LedgerCore::new(LIMITS);
    let full = Refusal::not_run(RefusalReason::MemoryBound);
    assert!(matches!(tell(&mut ledger, 0, call(1, "a"))[..], [LedgerAction::Run { .. }]));
    assert_eq!(tell(&mut ledger, 0, call(2, "b")), refused(2, full));
    tell(&mut ledger, 1, answered("a", 900));
    assert_eq!(tell(&mut ledger, 99, call(3, "b")), refused(3, full));
    let replay = tell(&mut ledger, 100, call(4, "a"));
    assert!(matches!(replay[..], [LedgerAction::Reply { replayed: true, .. }]));
    assert!(matches!(tell(&mut ledger, 101, call(5, "b"))[..], [LedgerAction::Run { .. }]));
    assert!(ledger.bytes() <= LIMITS.max_bytes);
}

#[test]
fn refusal_that_can_not_be_remembered_is_unknown() {
    let mut ledger = LedgerCore::new(LedgerLimits { max_bytes: 0, ..LIMITS });
    let verdicts = [1, 2, 3].map(|seq| match &tell(&mut ledger, 0, call(seq, "a"))[..] {
        [LedgerAction::Refuse { refusal, .. }] => refusal.verdict,
        other => panic!("{other:?}"),
    });
    assert_eq!(verdicts, [Verdict::NotRun, Verdict::NotRun, Verdict::Unknown]);
}

#[test]
fn answer_too_large_to_record_is_unknown_to_repeats() {
    let mut ledger = LedgerCore::new(LIMITS);
    tell(&mut ledger, 0, call(1, "a"));
    let first = tell(&mut ledger, 0, answered("a", 1_001));
    assert!(matches!(first[..], [LedgerAction::Reply { .. }]));
    let unknown = Refusal::unknown(RefusalReason::MemoryBound);
    assert_eq!(tell(&mut ledger, 1, call(2, "a")), refused(2, unknown));
}

#[test]
fn last_cancel_takes_the_call_out_of_the_queue() {
    let mut ledger = LedgerCore::new(LIMITS);
    tell(&mut ledger, 0, call(1, "a"));
    tell(&mut ledger, 0, call(2, "a"));
    let joined = tell(&mut ledger, 0, LedgerEvent::Cancel { waiter: waiter(2) });
    assert_eq!(joined, refused(2, Refusal::unknown(RefusalReason::Cancelled)));
    let last = tell(&mut ledger, 0, LedgerEvent::Cancel { waiter: waiter(1) });
    assert_eq!(last, [LedgerAction::Dequeue { key: key("a") }]);
    let refusal = Refusal::not_run(RefusalReason::Cancelled);
    let event = LedgerEvent::NotSent { key: key("a"), refusal };
    assert_eq!(tell(&mut ledger, 0, event), refused(1, refusal));
    assert_eq!(tell(&mut ledger, 1, call(1, "a")), refused(1, refusal));
}

/// Tells an owner something and returns the number of its write and whom it asks.
fn tell_owner(owner: &mut OwnerCore, secs: u64, event: OwnerEvent) -> (u64, BTreeSet<String>, u64) {
    let mut out = Vec::new();
    owner.handle(Time::from_millis(secs * 1_000), event, &mut out);
    let (mut put, mut asked, mut question) = (0, BTreeSet::new(), 0);
    for action in out {
        match action {
            OwnerAction::PutLease { seq, .. } => put = seq,
            OwnerAction::AskGrant { standby, nonce, .. } => {
                asked.insert(standby.process.to_string());
                question = nonce;
            }
            _ => {}
        }
    }
    (put, asked, question)
}

#[test]
fn standbys_of_an_unanswered_write_are_asked_too() {
    let agent = process("agent");
    let mut owner = OwnerCore::new(agent.clone(), OwnerTimes::default());
    let standbys = |name: &str| OwnerEvent::Standbys(vec![process(name)]);
    let done = |seq| OwnerEvent::Put { seq, result: PutResult::Done(Version::new(1)) };
    tell_owner(&mut owner, 0, standbys("old"));
    let (seq, _, _) = tell_owner(&mut owner, 0, OwnerEvent::Tick);
    tell_owner(&mut owner, 0, done(seq));
    let mut table = OwnerTable::new(1);
    table.hand_over(Slot::new(0), owner.id().clone());
    let write = WriteId { writer: agent, seq: 1 };
    let table = Stored { version: Version::new(1), write, body: table };
    tell_owner(&mut owner, 0, OwnerEvent::Table(ReadResult::Found(table)));
    tell_owner(&mut owner, 1, standbys("new"));
    let (seq, _, _) = tell_owner(&mut owner, 5, OwnerEvent::Tick);
    let unclear = OwnerEvent::Put { seq, result: PutResult::Unclear };
    tell_owner(&mut owner, 6, unclear);
    let (_, asked, nonce) = tell_owner(&mut owner, 10, OwnerEvent::Tick);
    assert_eq!(asked, BTreeSet::from(["new".to_owned(), "old".to_owned()]));
    let grant = |name: &str| {
        let span = Some(Duration::from_secs(15));
        OwnerEvent::Grant { by: process(name), nonce, span }
    };
    let standing = |owner: &OwnerCore| owner.standing(Time::from_millis(20_000), &key("k"));
    tell_owner(&mut owner, 10, grant("old"));
    assert_eq!(standing(&owner), Standing::Lapsed);
    tell_owner(&mut owner, 10, grant("new"));
    assert_eq!(standing(&owner), OWNER);
}

#[test]
fn stray_is_deleted_only_without_a_state() {
    let mut keeper = JobKeeper::new(JobLimits::default());
    let stray = SegmentId { writer: process("entry"), seq: 1 };
    let mut tell = |event| {
        let mut out = Vec::new();
        keeper.handle(Time::ZERO, event, &mut out);
        out
    };
    let swept = || KeeperEvent::Swept(BTreeSet::from([stray.clone()]));
    let absent = || KeeperEvent::State { segment: stray.clone(), read: ReadResult::Absent };
    assert_eq!(tell(swept()), []);
    assert_eq!(tell(absent()), []);
    assert_eq!(tell(swept()), [KeeperAction::GetState(stray.clone())]);
    let delete = KeeperAction::Delete { segment: stray.clone(), expect: Version::ABSENT };
    assert_eq!(tell(absent()), [delete]);
}

#[test]
fn hand_over_survives_its_frame() {
    let owner = |name: &str| OwnerId::first(process(name)).next();
    let answer = Answer { status: 201, content_type: Some("text/plain".into()), body: "41".into() };
    let unknown = Ending::Unknown(Refusal::unknown(RefusalReason::BadAnswer));
    let ended = |text: &str, ending| EndedCall {
        key: key(text),
        digest: CallDigest::of("POST", "/counts", text.as_bytes()),
        ending,
    };
    let part = HandOverPart {
        from: owner("agent-1"),
        to: owner("agent-2"),
        slot: Slot::new(255),
        index: 3,
        calls: vec![ended("a", Ending::Answered(Arc::new(answer))), ended("b", unknown)],
    };
    let bytes = Frame::from(HandOver::from(&part)).encode().expect("a frame");
    let Ok(Frame::HandOver(frame)) = Frame::decode(&bytes) else { panic!("no hand-over") };
    assert_eq!(HandOverPart::try_from(frame), Ok(part));
}

#[test]
fn slots_of_a_lease_that_a_sweep_finds_revoked_wait_for_its_lapse() {
    let times = OwnerTimes::default();
    let mut takeover = TakeoverCore::new(process("entry"), times, 1);
    let owner = OwnerId::first(process("agent"));
    let mut tell = |secs: u64, event| {
        let mut out = Vec::new();
        takeover.handle(Time::from_millis(secs * 1_000), event, &mut out);
        out.iter().any(|it| matches!(it, TakeoverAction::PutTable { .. }))
    };
    let write = WriteId { writer: process("other-entry"), seq: 1 };
    let version = Version::new(7);
    let revoked_by = Some(process("other-entry"));
    let body = OwnerLease { owner: owner.clone(), standbys: Vec::new(), revoked_by };
    let lease = Stored { version, write: write.clone(), body };
    let mut table = OwnerTable::new(1);
    table.hand_over(Slot::new(0), owner);
    let read = ReadResult::Found(Stored { version, write, body: table });
    let table = || TakeoverEvent::Table { wall: wall(0), read: read.clone() };
    assert!(!tell(0, TakeoverEvent::Members(vec![OwnerId::first(process("agent-2"))])));
    assert!(!tell(0, TakeoverEvent::Swept(vec![lease])));
    assert!(!tell(15, table()));
    assert!(!tell(16, TakeoverEvent::Tick));
    assert!(tell(16, table()));
}

#[test]
fn revoked_owner_goes_on_under_a_new_id() {
    let agent = process("agent");
    let mut owner = OwnerCore::new(agent.clone(), OwnerTimes::default());
    let (seq, _, _) = tell_owner(&mut owner, 0, OwnerEvent::Tick);
    let done = OwnerEvent::Put { seq, result: PutResult::Done(Version::new(1)) };
    tell_owner(&mut owner, 0, done);
    assert!(owner.valid_until().is_some());
    let first = owner.id().clone();
    let revoked_by = Some(process("entry"));
    let body = OwnerLease { owner: first.clone(), standbys: Vec::new(), revoked_by };
    let write = WriteId { writer: process("entry"), seq: 1 };
    let lease = Stored { version: Version::new(2), write, body };
    tell_owner(&mut owner, 1, OwnerEvent::Lease(ReadResult::Found(lease)));
    assert_eq!(owner.id(), &first.next());
    assert_eq!(owner.valid_until(), None);
}
