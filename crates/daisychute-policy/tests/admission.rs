//! The admission core.

use std::time::Duration;

use daisychute_core::{
    ClassName, Incarnation, Precedence, Refusal, RefusalReason, RequestId, Role, TenantName, Time,
    Verdict,
};
use daisychute_policy::{AdmissionController, AdmissionRequest, Decision, Limits, RequestPhase};
use quickcheck::{QuickCheck, TestResult};

const SECOND: Duration = Duration::from_secs(1);

fn id(seq: u64) -> RequestId {
    RequestId::new(Incarnation::new(1), seq)
}

fn request(seq: u64, tenant: &str, precedence: Precedence, due: Time) -> AdmissionRequest {
    let tenant = TenantName::try_from(tenant).unwrap();
    let class = ClassName::try_from("clerk-question").unwrap();
    AdmissionRequest::new(id(seq), tenant, class)
        .precedence(precedence)
        .deadline(due)
        .prompt_tokens(1_000)
        .max_tokens(10)
}

/// An engine that takes one request at a time.
fn narrow() -> AdmissionController {
    AdmissionController::new(Limits::engine(Role::Mixed).streams(1))
}

/// Ends the running request and gives the next until none is left.
fn drain(admission: &mut AdmissionController, mut running: u64, mut now: Time) -> Vec<u64> {
    let mut order = Vec::new();
    loop {
        now = now + Duration::from_millis(1);
        admission.first_token(now, id(running), 0);
        admission.finished(now, id(running));
        let Some(next) = admission.next(now) else { return order };
        running = next.seq;
        order.push(running);
    }
}

macro_rules! order_cases {
    ($($name:ident: [$(($tenant:literal, $precedence:ident, $due:literal)),*] => $order:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut admission = narrow();
            let late = Time::ZERO + 600 * SECOND;
            let first = request(0, "district-9", Precedence::First, late);
            assert_eq!(admission.submit(Time::ZERO, first), Decision::Admitted);
            let mut seq = 0;
            $(
                seq += 1;
                let due = Time::ZERO + $due * SECOND;
                let offered = request(seq, $tenant, Precedence::$precedence, due);
                assert_eq!(admission.submit(Time::ZERO, offered), Decision::Queued);
            )*
            assert!(seq > 0);
            assert_eq!(drain(&mut admission, 0, Time::ZERO), $order);
        }
    )*};
}

order_cases! {
    earliest_deadline_first: [("a", Interactive, 90), ("a", Interactive, 60), ("a", Interactive, 80)] => [2, 3, 1];
    precedence_before_deadline: [("a", MayWait, 50), ("a", Interactive, 90), ("a", First, 99)] => [3, 2, 1];
    equal_deadlines_by_arrival: [("a", Interactive, 60), ("b", Interactive, 60)] => [1, 2];
}

macro_rules! offer_cases {
    ($($name:ident: $request:expr => $pattern:pat,)*) => {$(
        #[test]
        fn $name() {
            let mut admission = narrow();
            let late = Time::ZERO + 600 * SECOND;
            admission.submit(Time::ZERO, request(0, "a", Precedence::Interactive, late));
            let decision = admission.submit(Time::from_millis(10), $request);
            assert!(matches!(decision, $pattern), "{decision:?}");
        }
    )*};
}

offer_cases! {
    past_its_deadline: request(1, "a", Precedence::Interactive, Time::from_millis(5))
        => Decision::Refused(Refusal { verdict: Verdict::NotRun, reason: RefusalReason::Deadline, .. }),
    prompt_longer_than_its_target: request(1, "a", Precedence::Interactive, Time::from_millis(80))
        .prompt_tokens(100_000)
        => Decision::Refused(Refusal { reason: RefusalReason::Overloaded, retry_after: Some(_), .. }),
    room_in_time: request(1, "a", Precedence::Interactive, Time::from_millis(10_000)) => Decision::Queued,
}

/// A tenant that sent many requests before another sends its first doesn't make it wait for all of them.
#[test]
fn a_burst_of_one_tenant_leaves_the_others_their_share() {
    let mut admission = narrow();
    let due = Time::ZERO + 60 * SECOND;
    let prompt =
        |seq, tenant| request(seq, tenant, Precedence::Interactive, due).prompt_tokens(8_000);
    admission.submit(Time::ZERO, prompt(0, "hot"));
    for seq in 1..10 {
        admission.submit(Time::from_millis(seq), prompt(seq, "hot"));
    }
    admission.submit(Time::from_millis(20), prompt(10, "calm"));
    let order = drain(&mut admission, 0, Time::from_millis(20));
    let place = order.iter().position(|it| *it == 10);
    assert!(place.is_some_and(|it| it <= 1), "{order:?}");
}

/// May-wait work gets a turn after it waited long, though interactive work never stops.
#[test]
fn may_wait_work_makes_progress() {
    let mut admission = narrow();
    let due = |now: Time| now + 600 * SECOND;
    let mut now = Time::ZERO;
    admission.submit(now, request(0, "a", Precedence::Interactive, due(now)));
    admission.submit(now, request(1_000, "b", Precedence::MayWait, due(now)));
    let mut running = 0;
    for seq in 1..200 {
        now = now + Duration::from_millis(100);
        admission.submit(now, request(seq, "a", Precedence::Interactive, due(now)));
        admission.first_token(now, id(running), 0);
        admission.finished(now, id(running));
        running = admission.next(now).unwrap().seq;
        if running == 1_000 {
            assert!(now >= Time::ZERO + 10 * SECOND);
            return;
        }
    }
    panic!("the may-wait request never started");
}

/// What sooner work pushed back beyond its target is refused as soon as that is certain.
#[test]
fn queued_work_that_became_late_is_refused() {
    let mut admission = narrow();
    let late = Time::ZERO + 600 * SECOND;
    admission.submit(Time::ZERO, request(0, "a", Precedence::Interactive, late));
    let due = Time::from_millis(2_000);
    let offered = request(1, "a", Precedence::Interactive, due);
    assert_eq!(admission.submit(Time::ZERO, offered), Decision::Queued);
    let mut refused = Vec::new();
    admission.expire(Time::from_millis(100), &mut refused);
    assert!(refused.is_empty());
    admission.expire(Time::from_millis(1_990), &mut refused);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, id(1));
    assert_eq!(refused[0].1.verdict, Verdict::NotRun);
}

#[test]
fn a_drained_endpoint_gives_its_queue_back_and_keeps_what_runs() {
    let mut admission = narrow();
    let due = Time::ZERO + 60 * SECOND;
    for seq in 0..4 {
        admission.submit(Time::ZERO, request(seq, "a", Precedence::Interactive, due));
    }
    assert_eq!(admission.drain(), [id(1), id(2), id(3)]);
    assert_eq!((admission.queued(), admission.running()), (0, 1));
}

/// Prompts that one step computes together share its time.
#[test]
fn prompt_time_is_learned_though_prompts_end_together() {
    let mut admission = AdmissionController::new(Limits::engine(Role::Prefill));
    let mut now = Time::ZERO;
    for pair in 0..200 {
        let due = now + 60 * SECOND;
        for seq in [2 * pair, 2 * pair + 1] {
            let offered =
                request(seq, "a", Precedence::Interactive, due).phase(RequestPhase::Prefill);
            assert_eq!(admission.submit(now, offered), Decision::Admitted);
        }
        now = now + Duration::from_millis(200);
        for seq in [2 * pair, 2 * pair + 1] {
            admission.first_token(now, id(seq), 0);
            admission.finished(now, id(seq));
        }
    }
    let learned = admission.cost_model().prompt_token();
    assert!(learned.abs_diff(Duration::from_micros(100)) < Duration::from_micros(5), "{learned:?}");
}

/// Every request that was offered is at any time in exactly one place: refused, waiting, running or over.
#[test]
fn no_request_is_lost_or_started_twice() {
    fn property(steps: Vec<(u8, u16)>) -> TestResult {
        let mut admission = AdmissionController::new(Limits::engine(Role::Mixed).streams(3));
        let mut now = Time::ZERO;
        let (mut offered, mut over) = (0_u64, 0_u64);
        let mut running = Vec::new();
        let mut refused = Vec::new();
        for (step, value) in steps {
            now = now + Duration::from_millis(u64::from(value % 400));
            match step % 4 {
                0 | 1 => {
                    let precedence =
                        [Precedence::First, Precedence::Interactive, Precedence::MayWait]
                            [usize::from(value) % 3];
                    let due = now + Duration::from_millis(u64::from(value) * 3);
                    let tenant = ["a", "b"][usize::from(value) % 2];
                    match admission.submit(now, request(offered, tenant, precedence, due)) {
                        Decision::Admitted => running.push(offered),
                        Decision::Queued => {}
                        Decision::Refused(_) => over += 1,
                    }
                    offered += 1;
                }
                2 => {
                    if let Some(seq) = running.pop() {
                        admission.first_token(now, id(seq), 0);
                        admission.finished(now, id(seq));
                        over += 1;
                    }
                }
                _ => {
                    admission.expire(now, &mut refused);
                    while let Some(next) = admission.next(now) {
                        if running.contains(&next.seq) {
                            return TestResult::error("started twice");
                        }
                        running.push(next.seq);
                    }
                }
            }
            let counted = over + refused.len() as u64 + (admission.queued() + running.len()) as u64;
            if counted != offered || admission.running() != running.len() || running.len() > 3 {
                return TestResult::error(format!("{counted} of {offered} are accounted for"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u16)>) -> TestResult);
}
