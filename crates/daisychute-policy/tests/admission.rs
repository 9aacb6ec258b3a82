//! Tests of the admission controller.

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

fn request(seq: u64, tenant: &str, precedence: Precedence, deadline: Time) -> AdmissionRequest {
    let tenant = TenantName::try_from(tenant).unwrap();
    let class = ClassName::try_from("clerk-question").unwrap();
    AdmissionRequest::new(id(seq), tenant, class)
        .precedence(precedence)
        .deadline(deadline)
        .prompt_tokens(1_000)
        .max_tokens(10)
}

/// A controller for an engine that runs one request at a time.
fn single_stream() -> AdmissionController {
    AdmissionController::new(Limits::engine(Role::Mixed).streams(1))
}

/// Finishes the running request and starts the next until none is left. Returns the order of the starts.
fn run_all(admission: &mut AdmissionController, mut running: u64, mut now: Time) -> Vec<u64> {
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
    ($($name:ident: [$(($tenant:literal, $precedence:ident, $deadline_secs:literal)),*] => $order:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut admission = single_stream();
            let far_deadline = Time::ZERO + 600 * SECOND;
            let first = request(0, "district-9", Precedence::First, far_deadline);
            assert_eq!(admission.submit(Time::ZERO, first), Decision::Admitted);
            let mut seq = 0;
            $(
                seq += 1;
                let deadline = Time::ZERO + $deadline_secs * SECOND;
                let queued = request(seq, $tenant, Precedence::$precedence, deadline);
                assert_eq!(admission.submit(Time::ZERO, queued), Decision::Queued);
            )*
            assert!(seq > 0);
            assert_eq!(run_all(&mut admission, 0, Time::ZERO), $order);
        }
    )*};
}

order_cases! {
    earliest_deadline_first: [("a", Interactive, 90), ("a", Interactive, 60), ("a", Interactive, 80)] => [2, 3, 1];
    precedence_before_deadline: [("a", MayWait, 50), ("a", Interactive, 90), ("a", First, 99)] => [3, 2, 1];
    equal_deadlines_by_arrival: [("a", Interactive, 60), ("b", Interactive, 60)] => [1, 2];
}

macro_rules! submit_cases {
    ($($name:ident: $request:expr => $pattern:pat,)*) => {$(
        #[test]
        fn $name() {
            let mut admission = single_stream();
            let far_deadline = Time::ZERO + 600 * SECOND;
            admission.submit(Time::ZERO, request(0, "a", Precedence::Interactive, far_deadline));
            let decision = admission.submit(Time::from_millis(10), $request);
            assert!(matches!(decision, $pattern), "{decision:?}");
        }
    )*};
}

submit_cases! {
    a_request_past_its_deadline_is_refused: request(1, "a", Precedence::Interactive, Time::from_millis(5))
        => Decision::Refused(Refusal { verdict: Verdict::NotRun, reason: RefusalReason::Deadline, .. }),
    a_prompt_that_takes_longer_than_the_deadline_is_refused: request(1, "a", Precedence::Interactive, Time::from_millis(80))
        .prompt_tokens(100_000)
        => Decision::Refused(Refusal { reason: RefusalReason::Overloaded, retry_after: Some(_), .. }),
    a_request_that_can_meet_its_deadline_is_queued: request(1, "a", Precedence::Interactive, Time::from_millis(10_000)) => Decision::Queued,
}

/// A tenant's first request doesn't wait for all requests that another tenant sent before it.
#[test]
fn a_burst_of_one_tenant_leaves_the_others_their_share() {
    let mut admission = single_stream();
    let deadline = Time::ZERO + 60 * SECOND;
    let long_prompt =
        |seq, tenant| request(seq, tenant, Precedence::Interactive, deadline).prompt_tokens(8_000);
    admission.submit(Time::ZERO, long_prompt(0, "bursting"));
    for seq in 1..10 {
        admission.submit(Time::from_millis(seq), long_prompt(seq, "bursting"));
    }
    admission.submit(Time::from_millis(20), long_prompt(10, "steady"));
    let order = run_all(&mut admission, 0, Time::from_millis(20));
    let position = order.iter().position(|it| *it == 10);
    assert!(position.is_some_and(|it| it <= 1), "{order:?}");
}

/// A may-wait request starts after its maximum wait even if interactive requests keep arriving.
#[test]
fn may_wait_work_makes_progress() {
    let mut admission = single_stream();
    let deadline = |now: Time| now + 600 * SECOND;
    let mut now = Time::ZERO;
    admission.submit(now, request(0, "a", Precedence::Interactive, deadline(now)));
    admission.submit(now, request(1_000, "b", Precedence::MayWait, deadline(now)));
    let mut running = 0;
    for seq in 1..200 {
        now = now + Duration::from_millis(100);
        admission.submit(now, request(seq, "a", Precedence::Interactive, deadline(now)));
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

/// A queued request is refused as soon as it can no longer meet its deadline, and not before.
#[test]
fn queued_work_that_became_late_is_refused() {
    let mut admission = single_stream();
    let far_deadline = Time::ZERO + 600 * SECOND;
    admission.submit(Time::ZERO, request(0, "a", Precedence::Interactive, far_deadline));
    let deadline = Time::from_millis(2_000);
    let queued = request(1, "a", Precedence::Interactive, deadline);
    assert_eq!(admission.submit(Time::ZERO, queued), Decision::Queued);
    let mut refused = Vec::new();
    admission.expire(Time::from_millis(100), &mut refused);
    assert!(refused.is_empty());
    admission.expire(Time::from_millis(1_990), &mut refused);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].0, id(1));
    assert_eq!(refused[0].1.verdict, Verdict::NotRun);
}

#[test]
fn a_drain_empties_the_queue_and_keeps_running_requests() {
    let mut admission = single_stream();
    let deadline = Time::ZERO + 60 * SECOND;
    for seq in 0..4 {
        admission.submit(Time::ZERO, request(seq, "a", Precedence::Interactive, deadline));
    }
    assert_eq!(admission.drain(), [id(1), id(2), id(3)]);
    assert_eq!((admission.queued(), admission.running()), (0, 1));
}

/// Prompts that are prefilled in the same step share its time.
#[test]
fn prompt_time_is_learned_from_prompts_prefilled_together() {
    let mut admission = AdmissionController::new(Limits::engine(Role::Prefill));
    let mut now = Time::ZERO;
    for pair in 0..200 {
        let deadline = now + 60 * SECOND;
        for seq in [2 * pair, 2 * pair + 1] {
            let prefill =
                request(seq, "a", Precedence::Interactive, deadline).phase(RequestPhase::Prefill);
            assert_eq!(admission.submit(now, prefill), Decision::Admitted);
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

/// At any time, every submitted request is in exactly one state: refused, queued, running or finished.
#[test]
fn no_request_is_lost_or_started_twice() {
    fn property(steps: Vec<(u8, u16)>) -> TestResult {
        let mut admission = AdmissionController::new(Limits::engine(Role::Mixed).streams(3));
        let mut now = Time::ZERO;
        let (mut submitted, mut ended) = (0_u64, 0_u64);
        let mut running = Vec::new();
        let mut refused = Vec::new();
        for (step, value) in steps {
            now = now + Duration::from_millis(u64::from(value % 400));
            match step % 4 {
                0 | 1 => {
                    let precedence =
                        [Precedence::First, Precedence::Interactive, Precedence::MayWait]
                            [usize::from(value) % 3];
                    let deadline = now + Duration::from_millis(u64::from(value) * 3);
                    let tenant = ["a", "b"][usize::from(value) % 2];
                    match admission.submit(now, request(submitted, tenant, precedence, deadline)) {
                        Decision::Admitted => running.push(submitted),
                        Decision::Queued => {}
                        Decision::Refused(_) => ended += 1,
                    }
                    submitted += 1;
                }
                2 => {
                    if let Some(seq) = running.pop() {
                        admission.first_token(now, id(seq), 0);
                        admission.finished(now, id(seq));
                        ended += 1;
                    }
                }
                _ => {
                    admission.expire(now, &mut refused);
                    while let Some(next) = admission.next(now) {
                        if running.contains(&next.seq) {
                            return TestResult::error("a request was started twice");
                        }
                        running.push(next.seq);
                    }
                }
            }
            let counted =
                ended + refused.len() as u64 + (admission.queued() + running.len()) as u64;
            if counted != submitted || admission.running() != running.len() || running.len() > 3 {
                return TestResult::error(format!(
                    "{counted} of {submitted} requests are accounted for"
                ));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().tests(300).quickcheck(property as fn(Vec<(u8, u16)>) -> TestResult);
}
