//! When the end of a response in chunks is passed on only if its endpoint outlives it.

mod common;

use std::time::Duration;

use daisychute_core::Time;
use daisychute_dispatch::{DispatchSettings, Dispatcher, Endpoint, Event, Removal};

use crate::common::endpoint;

const DRAIN_TIME: Duration = Duration::from_secs(2);

/// What happens to the endpoint, with the time of each in ms.
#[derive(Debug, Clone, Copy)]
enum Step {
    Lists,
    Drains,
    Leaves,
    IsMissingAfterOutage,
    Announces,
    Stays,
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
            Step::Announces => Event::LeavingAnnounced { endpoint: key },
            Step::Stays => Event::StayingConfirmed { endpoint: key },
        };
        dispatcher.handle(Time::from_millis(*at_ms), event, &mut Vec::new());
    }
    dispatcher.must_outlive_chunks(Time::from_millis(at_ms), key)
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
    missing_record_after_an_outage_tells_nothing: [(1_000, IsMissingAfterOutage)], 2_500 => false;
}
