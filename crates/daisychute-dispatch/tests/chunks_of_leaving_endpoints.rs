//! When the end of a response in chunks is passed on only if its endpoint outlives it.

mod common;

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{DispatchSettings, Dispatcher, Endpoint, Event, Removal};

use crate::common::endpoint;

const DRAIN_TIME: Duration = Duration::from_secs(2);

/// When the request was sent, in ms.
const SENT_MS: u64 = 500;

/// What happens to the endpoint, with the time of each in ms.
#[derive(Debug, Clone, Copy)]
enum Step {
    Lists,
    Drains,
    Leaves,
    IsMissingAfterOutage,
    IsReplaced,
    Announces,
    Stays,
    /// The front ticks, as it does several times a second.
    Tick,
}

fn must_outlive(steps: &[(u64, Step)], at_ms: u64) -> bool {
    let settings = DispatchSettings { drain_time: DRAIN_TIME, ..DispatchSettings::default() };
    let mut dispatcher = Dispatcher::new(settings);
    let record = endpoint(1, "feed", None);
    let listed = Event::EndpointUpserted(record.clone());
    dispatcher.handle(Time::ZERO, listed, &mut Vec::new());
    let key = dispatcher.fleet().key(&record.name).expect("it is listed");
    for (at_ms, step) in steps {
        let removed = |removal| Event::EndpointRemoved { name: record.name.clone(), removal };
        let event = match step {
            Step::Lists => Event::EndpointUpserted(record.clone()),
            Step::Drains => Event::EndpointUpserted(Endpoint { draining: true, ..record.clone() }),
            Step::Leaves => removed(Removal::Left),
            Step::IsMissingAfterOutage => removed(Removal::AfterOutage(DRAIN_TIME)),
            Step::IsReplaced => {
                let started_at = Some(1);
                Event::EndpointUpserted(Endpoint { started_at, ..record.clone() })
            }
            Step::Announces => Event::LeavingAnnounced { endpoint: key },
            Step::Tick => Event::Tick,
            Step::Stays => Event::StayingConfirmed { endpoint: key },
        };
        dispatcher.handle(Time::from_millis(*at_ms), event, &mut Vec::new());
    }
    dispatcher.must_outlive_chunks(Time::from_millis(at_ms), key, Time::from_millis(SENT_MS))
}

/// Each case has what happens to an endpoint, a time in ms, and whether the endpoint must outlive a response that ends then.
macro_rules! cases {
    ($($name:ident: [$(($at:expr, $step:ident)),*], $at_ms:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(must_outlive(&[$(($at, Step::$step)),*], $at_ms), $expected);
        }
    )*};
}

cases! {
    endpoint_that_stays: [], 60_000 => false;
    draining_endpoint_serves_at_first: [(1_000, Drains)], 1_999 => false;
    draining_endpoint_may_give_up_later: [(1_000, Drains)], 2_000 => true;
    time_counts_from_the_first_word: [(1_000, Announces), (1_900, Drains)], 2_000 => true;
    removed_endpoint: [(1_000, Leaves)], 2_000 => true;
    removal_after_a_drain: [(1_000, Drains), (1_900, Leaves)], 2_000 => true;
    endpoint_that_announces_to_leave: [(1_000, Announces)], 2_000 => true;
    endpoint_that_stays_after_all: [(1_000, Announces), (1_500, Stays)], 60_000 => false;
    endpoint_that_is_ready_again: [(1_000, Drains), (1_500, Lists)], 60_000 => false;
    endpoint_whose_record_is_missing_after_an_outage: [(1_000, IsMissingAfterOutage)], 1_000 => true;
    endpoint_whose_record_came_back: [(1_000, IsMissingAfterOutage), (1_500, Lists)], 1_500 => false;
    endpoint_that_is_removed_after_an_outage: [(1_000, IsMissingAfterOutage), (3_001, Tick)], 4_001 => true;
    endpoint_that_was_replaced: [(1_000, IsReplaced)], 1_000 => true;
    front_that_runs: [(1_000, Tick), (1_250, Tick)], 2_249 => false;
    front_that_was_held_up: [(1_000, Tick)], 2_000 => true;
    front_that_has_just_gone_on: [(1_000, Tick), (3_000, Tick)], 3_999 => true;
    front_that_was_held_up_before: [(100, Tick), (400, Tick)], 1_300 => false;
    front_that_was_not_held_up_for_long: [(0, Tick), (510, Tick)], 900 => false;
    front_that_went_on_before: [(0, Tick), (450, Tick), (460, Tick)], 900 => false;
    front_that_has_caught_up: [(1_000, Tick), (3_000, Tick), (3_900, Tick)], 4_000 => false;
}
