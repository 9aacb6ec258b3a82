//! Events are passed on whole, wherever the bytes are cut.

use daisychute_front::EventFramer;
use quickcheck::{TestResult, quickcheck};

fn stream(events: u8) -> Vec<u8> {
    let event =
        |number: u8| format!("id: {number}\ndata: {}\n\n", "x".repeat(usize::from(number % 7)));
    (1..=events).flat_map(|it| event(it).into_bytes()).collect()
}

quickcheck! {
    fn whole_events_come_out_as_they_went_in(events: u8, cuts: Vec<usize>) -> bool {
        let bytes = stream(events);
        let mut framer = EventFramer::default();
        let mut cuts: Vec<_> = cuts.iter().map(|it| it % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(whole) = framer.push(&bytes[pair[0]..pair[1]]) {
                assert!(whole.ends_with(b"\n\n"));
                out.extend_from_slice(&whole);
            }
        }
        let last = (events > 0).then(|| events.to_string());
        out == bytes && framer.rest().is_none() && framer.last_id().as_deref() == last.as_deref()
    }

    fn a_part_of_an_event_is_kept_back(events: u8, part: Vec<u8>) -> TestResult {
        if part.contains(&b'\n') || part.contains(&b'\r') {
            return TestResult::discard();
        }
        let mut framer = EventFramer::default();
        framer.push(&stream(events));
        let passed = framer.push(&part);
        let kept = framer.rest().map(|it| it.to_vec()).unwrap_or_default();
        TestResult::from_bool(passed.is_none() && kept == part)
    }
}
