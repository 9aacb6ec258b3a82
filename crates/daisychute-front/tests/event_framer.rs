//! Complete events are passed on unchanged, wherever the stream is split.

use daisychute_front::EventFramer;
use quickcheck::{TestResult, quickcheck};

fn stream(events: u8) -> Vec<u8> {
    let event =
        |number: u8| format!("id: {number}\ndata: {}\n\n", "x".repeat(usize::from(number % 7)));
    (1..=events).flat_map(|it| event(it).into_bytes()).collect()
}

quickcheck! {
    fn complete_events_are_returned_unchanged(events: u8, cuts: Vec<usize>) -> bool {
        let bytes = stream(events);
        let mut framer = EventFramer::default();
        let mut cuts: Vec<_> = cuts.iter().map(|it| it % (bytes.len() + 1)).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let mut out = Vec::new();
        for pair in cuts.windows(2) {
            if let Some(complete) = framer.push(&bytes[pair[0]..pair[1]]) {
                assert!(complete.ends_with(b"\n\n"));
                out.extend_from_slice(&complete);
            }
        }
        let last = (events > 0).then(|| events.to_string());
        out == bytes && framer.take_partial().is_none() && framer.last_id().as_deref() == last.as_deref()
    }

    fn an_incomplete_event_is_held_back(events: u8, partial: Vec<u8>) -> TestResult {
        if partial.contains(&b'\n') || partial.contains(&b'\r') {
            return TestResult::discard();
        }
        let mut framer = EventFramer::default();
        framer.push(&stream(events));
        let passed = framer.push(&partial);
        let held_back = framer.take_partial().map(|it| it.to_vec()).unwrap_or_default();
        TestResult::from_bool(passed.is_none() && held_back == partial)
    }
}
