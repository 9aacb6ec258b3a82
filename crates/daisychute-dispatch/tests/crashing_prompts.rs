//! Prompt parts under which engines end.

mod common;

use std::sync::Arc;
use std::time::Duration;

use daisychute_core::{EndpointName, Role};
use daisychute_dispatch::{
    Action, Cause, CrashNews, Event, FrontPosition, Quarantine, Reason, Removal, SendFailure,
    Suspect, Task,
};
use quickcheck::quickcheck;

use crate::common::crash_world::{COMMON, MAX_ENDS, Outcome, PAUSE, POISON, QUARANTINE, World};
use crate::common::{Front, LONG, SHORT, endpoint, fleet};

/// Defines a test for each function in `cases`.
macro_rules! prompt_tests {
    ($($name:ident,)*) => {$(
        #[test]
        fn $name() {
            cases::$name();
        }
    )*};
}

prompt_tests! {
    part_under_which_engines_end_is_refused,
    requests_with_other_parts_go_on,
    first_part_of_all_prompts_may_be_the_cause,
    part_of_the_request_alone_is_never_quarantined,
    ends_at_different_fronts_count_together,
    end_that_several_fronts_see_counts_once,
    news_that_come_twice_count_once,
    front_that_starts_later_hears_of_a_quarantine,
    prefilled_request_is_refused_as_not_run,
    request_that_ended_an_engine_is_not_retried_after_the_verdict,
    complete_response_refutes_the_ends_before_it,
    news_from_before_a_complete_response_change_nothing,
    engines_that_end_together_count_once,
    part_in_flight_at_each_end_is_not_taken_for_the_cause,
    victim_that_is_lost_before_the_cause_is_not_taken_for_it,
    suspect_that_is_answered_before_the_verdict_goes_free,
    ends_before_a_response_began_count_half,
    suspects_that_nothing_tells_apart_wait_for_further_ends,
    part_that_was_sound_before_is_not_taken_for_the_cause,
    part_that_was_sound_before_may_become_the_cause,
    verdict_against_a_part_that_was_sound_here_needs_ends_seen_here,
    failures_of_engines_that_go_on_do_not_count,
    end_long_after_the_first_output_does_not_count,
    one_request_is_sent_as_a_trial,
    trial_that_ends_an_engine_doubles_the_quarantine,
    trial_that_is_answered_lifts_the_quarantine_everywhere,
    trial_without_a_result_is_followed_by_another,
    long_prompts_are_bounded,
}

/// Returns parts of which no complete response is known.
fn suspects(keys: [u64; 2]) -> Arc<[Suspect]> {
    keys.into_iter().map(|key| Suspect { cause: Cause::Part(key), was_sound: false }).collect()
}

fn engine_of(outcome: &Outcome) -> EndpointName {
    let Outcome::Sent(sent) = outcome else { panic!("not sent: {outcome:?}") };
    sent.decision.name.clone()
}

mod cases {
    use super::*;

    // Each request with the part was sent to the next engine, which ended as well.
    pub(super) fn part_under_which_engines_end_is_refused() {
        let mut world = World::new(1);
        let sent = (0..40).filter(|_| {
            world.wait(PAUSE);
            world.poisoned(0, &[COMMON, POISON])
        });
        let ends = sent.count();
        assert!(ends <= MAX_ENDS, "{ends} engines ended");
    }

    // A refusal of the part must not spread to what its requests have in common with others.
    pub(super) fn requests_with_other_parts_go_on() {
        let mut world = World::new(1);
        let mut ends = 0;
        for number in 0..60 {
            ends += usize::from(world.poisoned(0, &[COMMON, POISON]));
            world.wait(Duration::from_millis(100));
            assert!(world.sound(0, &[COMMON, 100 + number % 5]));
            world.wait(Duration::from_millis(100));
        }
        assert!(ends <= MAX_ENDS, "{ends} engines ended");
    }

    // The part was looked for among the later ones only.
    pub(super) fn first_part_of_all_prompts_may_be_the_cause() {
        let mut world = World::new(1);
        let sent = (0..20).filter(|number| {
            world.wait(PAUSE);
            world.poisoned(0, &[POISON, 100 + number])
        });
        assert_eq!(sent.count(), MAX_ENDS);
        assert!(world.sound(0, &[COMMON, 100]));
    }

    // Requests without a shared part were blamed for what they alone contain.
    pub(super) fn part_of_the_request_alone_is_never_quarantined() {
        let mut world = World::new(1);
        for _ in 0..10 {
            world.wait(PAUSE);
            assert!(world.poisoned(0, &[]));
        }
        assert_eq!(world.news, [0; 3]);
    }

    // Each front counted for itself, so that a few engines ended for each front.
    pub(super) fn ends_at_different_fronts_count_together() {
        let mut world = World::new(8);
        assert_eq!(world.until_refused(), MAX_ENDS);
        for front in 0..8 {
            assert!(world.quarantine(front, POISON).is_some());
            assert!(world.begin(front, &[COMMON, POISON]).is_refused());
            assert!(world.sound(front, &[COMMON, 100]));
        }
    }

    // One end that three fronts saw was enough for a quarantine.
    pub(super) fn end_that_several_fronts_see_counts_once() {
        let mut world = World::new(3);
        let sent: Vec<_> = (0..60).map(|it| world.begin(it % 3, &[COMMON, 100])).collect();
        world.end(&engine_of(&sent[0]));
        assert!((0..3).all(|it| world.quarantine(it, COMMON).is_none()));
        assert!(world.news[0] > 1, "only one front saw the end");
    }

    // Announcements are repeated.
    pub(super) fn news_that_come_twice_count_once() {
        let mut world = World::new(1);
        for number in 0..6_u64 {
            let (endpoint, suspects) = (number % 2, suspects([COMMON, POISON]));
            let at = world.fronts[0].now;
            world.wait(PAUSE);
            let news = vec![CrashNews::EndpointEnded { endpoint, suspects, begun: true, at }];
            world.handle(0, Event::CrashNewsReported { news });
        }
        assert!(world.quarantine(0, POISON).is_none());
    }

    // A front that started after the verdict ended further engines.
    pub(super) fn front_that_starts_later_hears_of_a_quarantine() {
        let mut world = World::new(4);
        assert_eq!(world.until_refused(), MAX_ENDS);
        let now = world.fronts[0].now;
        world.fronts[3] = Front::new(fleet());
        world.fronts[3].now = now;
        for _ in 0..10 {
            world.wait(Duration::from_millis(250));
            for front in 0..4 {
                world.handle(front, Event::FrontsCounted(FrontPosition::new(4, front)));
                world.handle(front, Event::Tick);
            }
        }
        let Outcome::Refused(Reason::Quarantined, retry_after) = world.begin(3, &[COMMON, POISON])
        else {
            panic!("not refused");
        };
        assert!(retry_after > QUARANTINE / 2, "{retry_after:?}");
    }

    // The part was looked at on arrival only, so that prompts that were being prefilled still ended engines.
    pub(super) fn prefilled_request_is_refused_as_not_run() {
        let mut world = World::new(2);
        let mut prefills = Vec::new();
        while prefills.len() < 3 {
            if let Outcome::Sent(sent) = world.arrive(0, LONG, &[COMMON, POISON])
                && sent.decision.task == Task::Prefill
            {
                prefills.push(sent);
            }
            world.wait(Duration::from_millis(5));
        }
        let sent = world.until_refused();
        assert!(sent <= MAX_ENDS);
        for prefill in prefills {
            assert!(world.prefilled(&prefill).is_refused());
        }
    }

    // Retries of one request ended several engines after the verdict.
    pub(super) fn request_that_ended_an_engine_is_not_retried_after_the_verdict() {
        let mut world = World::new(1);
        let sent = world.begin_at(0, LONG, &[COMMON, POISON]);
        assert_eq!(world.until_refused(), MAX_ENDS);
        let outcomes = world.end(&engine_of(&sent));
        assert!(matches!(outcomes[..], [Outcome::Failed(Reason::Quarantined)]), "{outcomes:?}");
    }

    // Ends that lay far apart added up, though the part had been answered in between.
    pub(super) fn complete_response_refutes_the_ends_before_it() {
        let mut world = World::new(3);
        for number in 0..30 {
            world.wait(PAUSE);
            assert!(world.poisoned(number % 3, &[COMMON, 100]));
            world.wait(PAUSE);
            if number % 2 == 1 {
                assert!(world.sound((number + 1) % 3, &[COMMON, 100]));
            }
        }
        assert_eq!(world.news[1], 0);
    }

    // A repeated announcement of an end brought back what a later response had refuted.
    pub(super) fn news_from_before_a_complete_response_change_nothing() {
        let mut world = World::new(1);
        let at = world.fronts[0].now;
        world.wait(PAUSE);
        assert!(world.sound(0, &[COMMON, 100]));
        let ends = (0..5).map(|endpoint| CrashNews::EndpointEnded {
            endpoint,
            suspects: suspects([COMMON, 100]),
            begun: true,
            at: at + PAUSE / 10 * endpoint as u32,
        });
        let until = world.fronts[0].now + QUARANTINE;
        let verdict = Quarantine { cause: Cause::Part(COMMON), since: at, until, strikes: 1 };
        let news = ends.chain([CrashNews::Quarantined(verdict)]).collect();
        world.handle(0, Event::CrashNewsReported { news });
        assert!(world.sound(0, &[COMMON, 100]));
    }

    // The loss of a rack was taken for the work of a prompt that was in use at all of its engines.
    pub(super) fn engines_that_end_together_count_once() {
        let mut world = World::new(4);
        let sent: Vec<_> = (0..200).map(|it| world.begin(it % 4, &[COMMON, 100])).collect();
        let mut engines: Vec<_> = sent.iter().map(engine_of).collect();
        engines.sort();
        engines.dedup();
        assert!(engines.len() >= 6, "{} engines", engines.len());
        for engine in engines {
            world.wait(Duration::from_millis(10));
            world.end(&engine);
        }
        assert!((0..4).all(|it| world.quarantine(it, COMMON).is_none()));
        assert!(world.sound(0, &[COMMON, 100]));
    }

    // What an engine had in flight beside the cause was refused as well.
    pub(super) fn part_in_flight_at_each_end_is_not_taken_for_the_cause() {
        let mut world = World::new(2);
        for number in 0..MAX_ENDS {
            world.wait(PAUSE);
            let cause = world.begin(number % 2, &[COMMON, POISON]);
            let engine = engine_of(&cause);
            let victim = loop {
                let it = world.begin((number + 1) % 2, &[COMMON, 100]);
                if engine_of(&it) == engine {
                    break it;
                }
            };
            assert!(matches!(victim, Outcome::Sent(_)));
            world.end(&engine);
            if number == 0 {
                assert!(world.sound(0, &[COMMON, 100]));
            }
        }
        world.wait(PAUSE);
        assert!(world.quarantine(0, POISON).is_some());
        assert!(world.sound(0, &[COMMON, 100]));
        assert!(world.sound(1, &[COMMON, 100]));
    }

    // What was lost first at the third end was quarantined, and the ends no longer spoke against the cause.
    pub(super) fn victim_that_is_lost_before_the_cause_is_not_taken_for_it() {
        let mut world = World::new(2);
        for number in 0..MAX_ENDS {
            world.wait(PAUSE);
            let victim = world.begin(number % 2, &[COMMON, 100]);
            let engine = engine_of(&victim);
            loop {
                let it = world.begin((number + 1) % 2, &[COMMON, POISON]);
                if engine_of(&it) == engine {
                    break;
                }
            }
            world.end(&engine);
        }
        world.wait(Duration::from_millis(100));
        assert!(world.sound(0, &[COMMON, 100]), "refused before it could be answered elsewhere");
        world.wait(PAUSE);
        assert!(world.quarantine(0, POISON).is_some());
        assert!((0..2).all(|it| world.sound(it, &[COMMON, 100])));
    }

    // A part was quarantined before a request with it, under way at another engine, could be answered.
    pub(super) fn suspect_that_is_answered_before_the_verdict_goes_free() {
        let mut world = World::new(2);
        for number in 0..MAX_ENDS {
            world.wait(PAUSE);
            assert!(world.poisoned(number % 2, &[COMMON, 100]));
        }
        world.wait(Duration::from_millis(100));
        assert!(world.sound(1, &[COMMON, 100]));
        world.wait(PAUSE);
        assert!((0..2).all(|it| world.sound(it, &[COMMON, 100])));
    }

    // Requests that an engine had not begun to respond to, as it ended, were taken for its end's cause like others.
    pub(super) fn ends_before_a_response_began_count_half() {
        let mut world = World::new(1);
        let mut ends = 0;
        loop {
            world.wait(PAUSE);
            let outcome = world.arrive(0, SHORT, &[COMMON, POISON]);
            let Outcome::Sent(sent) = outcome else { break };
            ends += 1;
            world.in_flight.clear();
            world.handle(0, Event::SendFailed { key: sent.key, failure: SendFailure::NoAnswer });
            let name = sent.decision.name.clone();
            world.handle(0, Event::EndpointRemoved { name, removal: Removal::Left });
            let successor = endpoint(world.engines, "lm", Some(Role::Decode));
            world.engines += 1;
            world.handle(0, Event::EndpointUpserted(successor));
        }
        assert_eq!(ends, 2 * MAX_ENDS);
    }

    // Of two parts with the same ends, one was picked without a reason.
    pub(super) fn suspects_that_nothing_tells_apart_wait_for_further_ends() {
        let mut world = World::new(1);
        for ends in 1..=5 {
            world.wait(PAUSE);
            let engine = engine_of(&world.begin(0, &[COMMON, POISON]));
            while engine_of(&world.begin(0, &[COMMON, 100])) != engine {}
            world.end(&engine);
            world.in_flight.clear();
            let held = [POISON, 100].map(|it| world.quarantine(0, it).is_some());
            assert_eq!(held, [false, false], "after {ends} ends");
        }
        world.wait(PAUSE);
        assert!([POISON, 100].iter().all(|it| world.quarantine(0, *it).is_some()));
    }

    // Of two parts that were in all prompts, the one that had long been answered was refused.
    pub(super) fn part_that_was_sound_before_is_not_taken_for_the_cause() {
        let mut world = World::new(2);
        assert!(world.sound(0, &[COMMON, 100]));
        assert!(world.sound(1, &[COMMON, 100]));
        for number in 0..MAX_ENDS {
            world.wait(PAUSE);
            assert!(world.poisoned(number % 2, &[COMMON, POISON, 100]));
        }
        world.wait(PAUSE);
        assert!(world.quarantine(0, POISON).is_some());
        assert!((0..2).all(|it| world.sound(it, &[COMMON, 100])));
    }

    // A part that had once been answered could end any number of engines.
    pub(super) fn part_that_was_sound_before_may_become_the_cause() {
        let mut world = World::new(2);
        assert!(world.sound(0, &[COMMON, POISON]));
        assert_eq!(world.until_refused(), 2 * MAX_ENDS);
    }

    // A front that had seen nothing of a part but ends could have it refused at all others.
    pub(super) fn verdict_against_a_part_that_was_sound_here_needs_ends_seen_here() {
        let mut world = World::new(1);
        assert!(world.sound(0, &[COMMON, 100]));
        world.wait(PAUSE);
        let since = world.fronts[0].now;
        for (part, strikes) in [(COMMON, 1), (POISON, 1), (100, 2)] {
            let until = since + QUARANTINE;
            let verdict = Quarantine { cause: Cause::Part(part), since, until, strikes };
            let news = vec![CrashNews::Quarantined(verdict)];
            world.handle(0, Event::CrashNewsReported { news });
        }
        let held = |part| world.quarantine(0, part).is_some();
        assert_eq!([COMMON, POISON, 100].map(held), [false, true, true]);
    }

    // Engines that refuse, fail or can't be reached were taken for ended.
    pub(super) fn failures_of_engines_that_go_on_do_not_count() {
        let failures = [
            SendFailure::Unsent,
            SendFailure::NotRun { misdirected: false },
            SendFailure::Unusable,
        ];
        let mut world = World::new(1);
        for number in 0..12 {
            world.wait(Duration::from_secs(1));
            let outcome = world.begin(0, &[COMMON, POISON]);
            let Outcome::Sent(sent) = outcome else { panic!("not sent: {outcome:?}") };
            let key = sent.key;
            world.in_flight.clear();
            let failure = failures[number % failures.len()];
            world.handle(0, Event::SendFailed { key, failure });
            world.handle(0, Event::ClientDisconnected { key });
        }
        assert_eq!(world.news, [0; 3]);
    }

    // A prompt that had long been responded to was blamed for the end of its engine.
    pub(super) fn end_long_after_the_first_output_does_not_count() {
        let mut world = World::new(1);
        for _ in 0..5 {
            let Outcome::Sent(sent) = world.begin(0, &[COMMON, POISON]) else { panic!() };
            world.handle(0, Event::FirstOutput { key: sent.key });
            world.wait(Duration::from_millis(1_500));
            world.end(&sent.decision.name);
        }
        assert_eq!(world.news, [0; 3]);
    }

    // A quarantine that ends for all requests at once costs an engine for each of them.
    pub(super) fn one_request_is_sent_as_a_trial() {
        let mut world = World::new(4);
        assert_eq!(world.until_refused(), MAX_ENDS);
        world.wait(QUARANTINE);
        let outcomes: Vec<_> = (0..12).map(|it| world.begin(it % 4, &[COMMON, POISON])).collect();
        let sent = outcomes.iter().filter(|it| matches!(it, Outcome::Sent(_))).count();
        assert_eq!(sent, 1);
        assert!(outcomes[1..].iter().all(Outcome::is_refused));
    }

    // The part was tried again and again at the same interval.
    pub(super) fn trial_that_ends_an_engine_doubles_the_quarantine() {
        let mut world = World::new(2);
        world.until_refused();
        for strikes in 2..=4 {
            let Some(quarantine) = world.quarantine(0, POISON) else { panic!() };
            let left = quarantine.until.since(world.fronts[0].now);
            world.wait(left);
            assert!(world.poisoned(0, &[COMMON, POISON]));
            for front in 0..2 {
                let quarantine = world.quarantine(front, POISON).expect("still quarantined");
                assert_eq!(quarantine.strikes, strikes);
                let left = quarantine.until.since(world.fronts[front].now);
                assert!(left > QUARANTINE * (1 << (strikes - 1)) - PAUSE, "{left:?}");
            }
            assert!(!world.poisoned(1, &[COMMON, POISON]));
        }
    }

    // A part that was mended stayed refused.
    pub(super) fn trial_that_is_answered_lifts_the_quarantine_everywhere() {
        let mut world = World::new(3);
        world.until_refused();
        world.wait(QUARANTINE);
        assert!(world.sound(1, &[COMMON, POISON]));
        for front in 0..3 {
            assert!(world.sound(front, &[COMMON, POISON]));
        }
    }

    // A trial whose client left kept the part refused for good.
    pub(super) fn trial_without_a_result_is_followed_by_another() {
        let mut world = World::new(2);
        world.until_refused();
        world.wait(QUARANTINE);
        let Outcome::Sent(sent) = world.begin(0, &[COMMON, POISON]) else { panic!() };
        world.handle(0, Event::ClientDisconnected { key: sent.key });
        assert!(world.begin(1, &[COMMON, POISON]).is_refused());
        world.wait(Duration::from_secs(5));
        assert!(world.sound(1, &[COMMON, POISON]));
    }

    // A prompt of thousands of parts filled memory and datagrams.
    pub(super) fn long_prompts_are_bounded() {
        let mut world = World::new(1);
        let shared: Vec<u64> = (10_000..20_000).collect();
        let Outcome::Sent(sent) = world.begin(0, &shared) else { panic!() };
        let failure = SendFailure::NoAnswer;
        let actions = world.fronts[0].handle(Event::SendFailed { key: sent.key, failure });
        let longest = actions.iter().find_map(|it| match it {
            Action::AnnounceCrashNews { news: CrashNews::EndpointEnded { suspects, .. } } => {
                Some(suspects.len())
            }
            _ => None,
        });
        assert_eq!(longest, Some(16));
    }
}

/// Plays random requests, ends and complete responses at four fronts. Returns whether a part was quarantined that isn't
/// the cause of any end.
fn blames_a_sound_part(steps: &[u16]) -> bool {
    let mut world = World::new(4);
    for caller in 100..107 {
        assert!(world.sound(caller as usize % 4, &[COMMON, caller]));
    }
    for step in steps {
        let (step, front) = (usize::from(*step), usize::from(*step) % 4);
        world.wait(Duration::from_millis(20 + step as u64 % 97));
        let caller = 100 + (step / 4) as u64 % 7;
        match step % 11 {
            0 => {
                world.poisoned(front, &[COMMON, POISON, caller]);
            }
            1 => {
                if let Some(sent) = world.in_flight.first().cloned() {
                    world.end(&sent.decision.name);
                    world.sound((front + 1) % 4, &[COMMON, caller]);
                }
            }
            2..=5 => {
                world.begin(front, &[COMMON, caller]);
            }
            _ => {
                let done: Vec<_> = world.in_flight.iter().take(3).cloned().collect();
                done.iter().for_each(|it| world.finish(it));
            }
        }
    }
    let sound = [COMMON].into_iter().chain(100..107);
    let mut pairs = sound.flat_map(|part| (0..4).map(move |front| (front, part)));
    pairs.any(|(front, part)| world.quarantine(front, part).is_some())
}

quickcheck! {
    // Engines that end for other reasons, with sound prompts in flight, bring no sound part into quarantine as long as
    // such prompts are answered elsewhere.
    fn sound_parts_are_not_quarantined(steps: Vec<u16>) -> bool {
        !blames_a_sound_part(&steps)
    }
}

#[test]
fn sound_parts_are_not_quarantined_on_long_days() {
    for seed in 0..40_u64 {
        let steps: Vec<_> = (0..600_u64)
            .map(|it| ((seed * 1_000 + it).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as u16)
            .collect();
        assert!(!blames_a_sound_part(&steps), "seed {seed}");
    }
}
