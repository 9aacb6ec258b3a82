//! Requests that end each endpoint which runs them, and come again.

mod common;

use std::time::Duration;

use daisychute_dispatch::{Event, Fingerprint, Prompt, PromptPart, Reason, RequestInfo};
use quickcheck::quickcheck;

use crate::common::crash_world::{COMMON, MAX_ENDS, Outcome, PAUSE, QUARANTINE, World};
use crate::common::{HOST, LONG, ONCE, PANEL, SHORT};

/// Fingerprint of the request that ends endpoints.
const CRASHING: u64 = 0xbad;
/// Time from the start of a run to the end of its endpoint.
const TIME_TO_END: Duration = Duration::from_millis(40);

/// Defines a test for each function in `cases`.
macro_rules! request_tests {
    ($($name:ident,)*) => {$(
        #[test]
        fn $name() {
            cases::$name();
        }
    )*};
}

request_tests! {
    request_under_which_workers_end_is_refused,
    request_that_may_not_be_repeated_is_refused_when_it_comes_again,
    generation_under_which_engines_end_is_refused,
    generation_that_ends_engines_before_they_respond_is_refused,
    request_is_refused_at_fronts_that_lost_no_worker,
    attempt_after_the_verdict_is_not_sent_to_another_worker,
    workers_that_end_at_once_are_counted,
    sound_requests_at_the_same_worker_go_on,
    request_that_is_answered_elsewhere_goes_free,
    request_that_was_answered_before_needs_more_ends,
    answers_that_another_front_saw_count,
    retried_victims_are_not_blamed_for_long,
    clients_that_leave_bring_no_request_into_quarantine,
    requests_without_a_fingerprint_are_never_quarantined,
    part_is_not_blamed_for_the_ends_of_one_request,
    part_whose_requests_are_retried_is_refused,
    unique_requests_push_out_no_part,
    unique_requests_push_out_no_request_that_comes_again,
    answered_requests_leave_no_news,
    trial_that_ends_a_worker_is_not_retried,
    answered_trial_lifts_the_quarantine_of_a_request,
    quarantine_is_told_to_a_front_that_starts_later,
}

/// Plays requests with fingerprints.
impl World {
    /// Starts a call of this route.
    fn arrive_call(&mut self, front: usize, route: &str, fingerprint: u64) -> Outcome {
        let key = self.fronts[front].next_key();
        let number = key.number() * 10 + front as u64;
        let request = RequestInfo::new(format!("{number}"), HOST, format!("{route}{fingerprint}"))
            .client_timeout(Duration::from_secs(3))
            .fingerprint(Fingerprint::new(fingerprint));
        self.arrive_request(front, key, request)
    }

    /// Starts a generation on this route, with these shared parts.
    fn arrive_generation(
        &mut self,
        front: usize,
        route: &str,
        fingerprint: u64,
        shared: &[u64],
    ) -> Outcome {
        let key = self.fronts[front].next_key();
        let number = key.number() * 10 + front as u64;
        let keys = shared.iter().copied().chain([1_000_000 + fingerprint]);
        let parts: Vec<_> = keys.map(|key| PromptPart { key, tokens: 20 }).collect();
        let prompt = Prompt { parts, tokens: 100, max_output: 40 };
        let request = RequestInfo::new(format!("{number}"), HOST, format!("{route}{fingerprint}"))
            .client_timeout(Duration::from_secs(3))
            .fingerprint(Fingerprint::new(fingerprint))
            .prompt(prompt);
        self.arrive_request(front, key, request)
    }

    /// Ends each endpoint that this request is sent to, until it isn't sent again. Returns the number of ends.
    fn crash(&mut self, outcome: Outcome, begun: bool) -> usize {
        let mut ends = 0;
        let mut outcome = outcome;
        while let Outcome::Sent(sent) = outcome {
            if begun {
                self.start_response(&sent);
            }
            self.wait(TIME_TO_END);
            let name = &sent.decision.name;
            let mut lost = self.in_flight.iter().filter(|it| it.decision.name == *name);
            let position = lost.position(|it| (it.front, it.key) == (sent.front, sent.key));
            outcome = self.end(name).swap_remove(position.expect("the request is in flight"));
            ends += 1;
        }
        ends
    }

    /// Plays an idempotent call that ends each worker which runs it. Returns the number of ends.
    fn crashing_call(&mut self, front: usize) -> usize {
        let outcome = self.arrive_call(front, PANEL, CRASHING);
        self.crash(outcome, false)
    }

    /// Plays a call that is answered. Returns whether it was sent.
    fn sound_call(&mut self, front: usize, fingerprint: u64) -> bool {
        let Outcome::Sent(sent) = self.arrive_call(front, PANEL, fingerprint) else { return false };
        self.wait(Duration::from_millis(10));
        self.finish(&sent);
        true
    }

    /// Plays calls that end workers at all fronts in turn, and returns the number of ends.
    fn crashing_calls(&mut self, calls: usize) -> usize {
        let fronts = self.fronts.len();
        (0..calls)
            .map(|it| {
                self.wait(PAUSE);
                self.crashing_call(it % fronts)
            })
            .sum()
    }

    /// Ends the worker of a call, which is one of many that are never sent again.
    fn lose_unique(&mut self, front: usize, fingerprint: u64) {
        let outcome = self.arrive_call(front, ONCE, fingerprint);
        let Outcome::Sent(sent) = outcome else { panic!("not sent: {outcome:?}") };
        self.in_flight.retain(|it| it.key != sent.key);
        self.lose(&sent);
    }
}

fn is_failed(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Failed(Reason::Quarantined))
}

mod cases {
    use super::*;

    // Each repetition of a plain request ended two more workers: it has no prompt parts, so nothing connected the ends.
    pub(super) fn request_under_which_workers_end_is_refused() {
        let mut world = World::new(1);
        assert_eq!(world.crashing_calls(20), MAX_ENDS);
        let Outcome::Refused(reason, retry_after) = world.arrive_call(0, PANEL, CRASHING) else {
            panic!("not refused");
        };
        assert_eq!(reason, Reason::Quarantined);
        assert!(retry_after > QUARANTINE / 2 && retry_after <= QUARANTINE, "{retry_after:?}");
    }

    // A request that runs at most once ended a worker with each repetition of its client.
    pub(super) fn request_that_may_not_be_repeated_is_refused_when_it_comes_again() {
        let mut world = World::new(2);
        let mut ends = 0;
        for number in 0..20 {
            world.wait(PAUSE);
            let outcome = world.arrive_call(number % 2, ONCE, CRASHING);
            ends += world.crash(outcome, false);
        }
        assert_eq!(ends, MAX_ENDS);
    }

    // The part of a prompt that is the request's own was never looked at.
    pub(super) fn generation_under_which_engines_end_is_refused() {
        let mut world = World::new(2);
        let mut ends = 0;
        for number in 0..20 {
            world.wait(PAUSE);
            let outcome = world.arrive_generation(number % 2, SHORT, CRASHING, &[]);
            ends += world.crash(outcome, true);
        }
        assert_eq!(ends, MAX_ENDS);
    }

    // Ends before a response began counted half, also for a request that nothing else can explain.
    pub(super) fn generation_that_ends_engines_before_they_respond_is_refused() {
        let mut world = World::new(2);
        let mut ends = 0;
        for number in 0..20 {
            world.wait(PAUSE);
            let outcome = world.arrive_generation(number % 2, SHORT, CRASHING, &[]);
            ends += world.crash(outcome, false);
        }
        assert_eq!(ends, MAX_ENDS);
    }

    // Each front had to lose workers of its own before it refused the request.
    pub(super) fn request_is_refused_at_fronts_that_lost_no_worker() {
        let mut world = World::new(8);
        assert_eq!(world.crashing_calls(2), MAX_ENDS);
        for front in 0..8 {
            assert!(world.arrive_call(front, PANEL, CRASHING).is_refused());
            assert!(world.sound_call(front, 7));
        }
    }

    // The second attempt of the request that ended the third worker ended a fourth one.
    pub(super) fn attempt_after_the_verdict_is_not_sent_to_another_worker() {
        let mut world = World::new(1);
        assert_eq!(world.crashing_calls(1), 2);
        world.wait(PAUSE);
        let Outcome::Sent(sent) = world.arrive_call(0, PANEL, CRASHING) else { panic!() };
        world.wait(TIME_TO_END);
        let outcomes = world.end(&sent.decision.name);
        assert!(is_failed(&outcomes[0]), "{outcomes:?}");
    }

    // Ends within a moment counted as one, as of a rack, so that a request that comes often took whole services away.
    pub(super) fn workers_that_end_at_once_are_counted() {
        let mut world = World::new(4);
        for front in 0..4 {
            world.arrive_call(front, PANEL, CRASHING);
        }
        world.wait(TIME_TO_END);
        let mut ends = 0;
        while let Some(sent) = world.in_flight.first().cloned() {
            let outcomes = world.end(&sent.decision.name);
            ends += 1;
            let is_retried = outcomes.iter().any(|it| matches!(it, Outcome::Sent(_)));
            assert!(ends < MAX_ENDS || !is_retried, "sent again after {ends} ends");
        }
        assert!(world.arrive_call(0, PANEL, CRASHING).is_refused());
    }

    // Requests of the same caller and path, at the same worker as it ended, must not share the refusal.
    pub(super) fn sound_requests_at_the_same_worker_go_on() {
        let mut world = World::new(2);
        for number in 0..10 {
            world.wait(PAUSE);
            let Outcome::Sent(cause) = world.arrive_call(number % 2, PANEL, CRASHING) else {
                continue;
            };
            let company =
                (0..4).map(|it| world.arrive_call(0, PANEL, 1_000 + 4 * number as u64 + it));
            let company: Vec<_> = company.collect();
            assert!(company.iter().all(|it| matches!(it, Outcome::Sent(_))));
            world.wait(TIME_TO_END);
            world.end(&cause.decision.name);
            let rest: Vec<_> = world.in_flight.clone();
            for sent in rest.iter().filter(|it| it.key != cause.key || it.front != cause.front) {
                world.finish(sent);
            }
            world.in_flight.clear();
        }
        for number in 0..40 {
            assert!(world.sound_call(number % 2, 1_000 + number as u64), "request {number}");
        }
        assert!(world.arrive_call(0, PANEL, CRASHING).is_refused());
    }

    // A request that others are sent like at the same time must not be refused while it is answered elsewhere.
    pub(super) fn request_that_is_answered_elsewhere_goes_free() {
        let mut world = World::new(2);
        let Outcome::Sent(elsewhere) = world.arrive_call(1, PANEL, 5) else { panic!() };
        for _ in 0..3 {
            world.wait(PAUSE);
            let Outcome::Sent(sent) = world.arrive_call(0, ONCE, 5) else { continue };
            world.in_flight.retain(|it| it.key != sent.key || it.front != sent.front);
            world.lose(&sent);
        }
        assert!(world.arrive_call(0, PANEL, 5).is_refused());
        world.finish(&elsewhere);
        assert!((0..2).all(|it| world.sound_call(it, 5)));
    }

    // A request that comes all the time is at many workers that end for other reasons.
    pub(super) fn request_that_was_answered_before_needs_more_ends() {
        let mut world = World::new(2);
        assert!(world.sound_call(0, 5));
        let mut ends = 0;
        while let Outcome::Sent(sent) = world.arrive_call(ends % 2, ONCE, 5) {
            world.wait(PAUSE);
            world.end(&sent.decision.name);
            ends += 1;
        }
        assert_eq!(ends, 2 * MAX_ENDS);
    }

    // A front that never had an answer to the request must hear from one that had.
    pub(super) fn answers_that_another_front_saw_count() {
        let mut world = World::new(2);
        assert!(world.sound_call(1, 5));
        for _ in 0..MAX_ENDS {
            world.wait(PAUSE);
            world.lose_unique(0, 5);
        }
        assert!((0..2).all(|it| world.sound_call(it, 5)));
    }

    // A request that was at each of three workers as they ended, in the company of the cause, is answered by the fourth.
    pub(super) fn retried_victims_are_not_blamed_for_long() {
        let mut world = World::new(2);
        for number in 0..MAX_ENDS {
            world.wait(PAUSE);
            world.lose_unique(number % 2, 5);
        }
        assert!(world.arrive_call(0, PANEL, 5).is_refused());
        world.wait(QUARANTINE);
        assert!(world.sound_call(0, 5));
        assert!((0..2).all(|it| world.sound_call(it, 5)));
    }

    // A client that closes its connections must not have its request, or one like it, refused.
    pub(super) fn clients_that_leave_bring_no_request_into_quarantine() {
        let mut world = World::new(1);
        for _ in 0..20 {
            let Outcome::Sent(sent) = world.arrive_call(0, PANEL, 5) else { panic!("refused") };
            world.wait(TIME_TO_END);
            world.in_flight.clear();
            world.handle(0, Event::ClientDisconnected { key: sent.key });
        }
        assert_eq!(world.news, [0; 3]);
        assert!(world.sound_call(0, 5));
    }

    // Requests that can't be told apart must not count as one.
    pub(super) fn requests_without_a_fingerprint_are_never_quarantined() {
        let mut world = World::new(1);
        for number in 0..10 {
            world.wait(PAUSE);
            let key = world.fronts[0].next_key();
            let request = RequestInfo::new(format!("r{number}"), HOST, format!("{ONCE}1"));
            let outcome = world.arrive_request(0, key, request);
            assert_eq!(world.crash(outcome, false), 1);
        }
    }

    // One request that came again had its callers' prompt part refused, with all other requests that have it.
    pub(super) fn part_is_not_blamed_for_the_ends_of_one_request() {
        let mut world = World::new(2);
        let mut ends = 0;
        for number in 0..10 {
            world.wait(PAUSE);
            let outcome = world.arrive_generation(number % 2, SHORT, CRASHING, &[COMMON, 100]);
            ends += world.crash(outcome, true);
        }
        assert_eq!(ends, MAX_ENDS);
        assert!((0..2).all(|it| world.sound(it, &[COMMON, 100])));
    }

    // The ends of requests that have a part in common must count for the part, though each request has ended some.
    pub(super) fn part_whose_requests_are_retried_is_refused() {
        let mut world = World::new(2);
        let mut ends = 0;
        for number in 0..20 {
            world.wait(PAUSE);
            let outcome =
                world.arrive_generation(number % 2, LONG, 10 + number as u64, &[COMMON, 100]);
            ends += world.crash(outcome, true);
        }
        assert!(ends <= 2 * MAX_ENDS, "{ends} engines ended");
    }

    // Many requests that never come again must not take the place of what is known about parts.
    pub(super) fn unique_requests_push_out_no_part() {
        let mut world = World::new(1);
        assert!(world.sound(0, &[COMMON, 100]));
        for number in 0..20_000 {
            assert!(world.sound_call(0, 10_000 + number));
            if number % 4 == 0 {
                world.lose_unique(0, 100_000 + number);
            }
        }
        for _ in 0..MAX_ENDS {
            world.wait(PAUSE);
            assert!(world.poisoned(0, &[COMMON, 100]));
        }
        world.wait(PAUSE);
        assert!(world.sound(0, &[COMMON, 100]), "the part was answered before");
    }

    // Many requests that never come again must not take the place of one that has ended workers.
    pub(super) fn unique_requests_push_out_no_request_that_comes_again() {
        let mut world = World::new(1);
        assert_eq!(world.crashing_calls(1), 2);
        for number in 0..5_000 {
            world.lose_unique(0, 100_000 + number);
        }
        assert_eq!(world.crashing_calls(4), 1);
    }

    // Heartbeats must not fill with requests that are answered, as nearly all are.
    pub(super) fn answered_requests_leave_no_news() {
        let mut world = World::new(2);
        assert!((0..1_000).all(|it| world.sound_call(it % 2, it as u64)));
        assert_eq!(world.news, [0; 3]);
    }

    // The second attempt of a trial ended another worker, as it counted as the same trial.
    pub(super) fn trial_that_ends_a_worker_is_not_retried() {
        let mut world = World::new(2);
        assert_eq!(world.crashing_calls(4), MAX_ENDS);
        let mut left = QUARANTINE;
        for _ in 0..3 {
            world.wait(left);
            assert_eq!(world.crashing_calls(6), 1);
            left *= 2;
        }
    }

    // A request whose fault was mended stayed refused.
    pub(super) fn answered_trial_lifts_the_quarantine_of_a_request() {
        let mut world = World::new(3);
        world.crashing_calls(3);
        world.wait(QUARANTINE);
        assert!(world.sound_call(1, CRASHING));
        assert!((0..3).all(|it| world.sound_call(it, CRASHING)));
    }

    // A front that had just started sent the request to another worker.
    pub(super) fn quarantine_is_told_to_a_front_that_starts_later() {
        let mut world = World::new(3);
        world.crashing_calls(3);
        let now = world.fronts[0].now;
        world.fronts[2] = common::Front::new(common::fleet());
        world.fronts[2].now = now;
        for _ in 0..6 {
            world.wait(Duration::from_millis(500));
        }
        assert!(world.arrive_call(2, PANEL, CRASHING).is_refused());
    }
}

/// Plays random requests, ends and answers at four fronts. Returns whether a request is refused that isn't the cause of
/// any end.
fn refuses_a_sound_request(steps: &[u16]) -> bool {
    let mut world = World::new(4);
    let sound = 100..107_u64;
    for fingerprint in sound.clone() {
        assert!(world.sound_call(fingerprint as usize % 4, fingerprint));
    }
    for step in steps {
        let (step, front) = (usize::from(*step), usize::from(*step) % 4);
        world.wait(Duration::from_millis(20 + step as u64 % 97));
        let fingerprint = 100 + (step / 4) as u64 % 7;
        match step % 11 {
            0 => {
                world.crashing_call(front);
            }
            1 => {
                if let Some(sent) = world.in_flight.first().cloned() {
                    world.end(&sent.decision.name);
                    world.sound_call((front + 1) % 4, fingerprint);
                }
            }
            2..=5 => {
                world.arrive_call(front, PANEL, fingerprint);
            }
            _ => {
                let done: Vec<_> = world.in_flight.iter().take(3).cloned().collect();
                done.iter().for_each(|it| world.finish(it));
            }
        }
    }
    let mut pairs = sound.flat_map(|it| (0..4).map(move |front| (front, it)));
    pairs.any(|(front, it)| world.arrive_call(front, PANEL, it).is_refused())
}

quickcheck! {
    // Requests that come all the time aren't refused because of workers that end under another one.
    fn sound_requests_are_not_refused(steps: Vec<u16>) -> bool {
        !refuses_a_sound_request(&steps)
    }
}

#[test]
fn sound_requests_are_not_refused_on_long_days() {
    for seed in 0..40_u64 {
        let steps: Vec<_> = (0..600_u64)
            .map(|it| ((seed * 1_000 + it).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as u16)
            .collect();
        assert!(!refuses_a_sound_request(&steps), "seed {seed}");
    }
}
