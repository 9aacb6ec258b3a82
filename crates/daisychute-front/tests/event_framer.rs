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

/// Asserts that a stream with these line ends is returned whole and split at its events, wherever it is cut.
fn assert_split_at_events(line_end: &str) {
    let event = |number: u8| format!("id: {number}{line_end}data: x{line_end}{line_end}");
    let stream: String = (1..=3).map(event).collect();
    for cut in 0..=stream.len() {
        let mut framer = EventFramer::default();
        let (head, tail) = stream.as_bytes().split_at(cut);
        let mut out = framer.push(head).unwrap_or_default().to_vec();
        out.extend(framer.push(tail).unwrap_or_default());
        assert!(!framer.is_inside_event(), "{line_end:?} cut at {cut}");
        out.extend(framer.take_partial().unwrap_or_default());
        assert_eq!(out, stream.as_bytes(), "{line_end:?} cut at {cut}");
        assert_eq!(framer.last_id().as_deref(), Some("3"), "{line_end:?} cut at {cut}");
    }
}

/// Defines a test for each stream, by whether its bytes end inside an event.
macro_rules! stream_ends {
    ($($name:ident: $stream:expr => $inside:expr,)*) => {$(
        #[test]
        fn $name() {
            let mut framer = EventFramer::default();
            framer.push($stream);
            assert_eq!(framer.is_inside_event(), $inside);
        }
    )*};
}

stream_ends! {
    nothing_is_no_event: b"" => false,
    whole_event_is_complete: b"id: 1\ndata: a\n\n" => false,
    event_without_its_blank_line_is_incomplete: b"id: 1\ndata: a\n" => true,
    event_cut_in_its_first_line_is_incomplete: b"id: 1\ndata: a\n\ni" => true,
    event_with_mixed_line_ends_is_complete: b"id: 1\r\ndata: a\n\r\n" => false,
    blank_lines_after_an_event_belong_to_none: b"data: a\n\n\r\n" => false,
    comment_after_an_event_belongs_to_none: b"data: a\n\n: done\n" => false,
    comment_without_its_end_is_incomplete: b"data: a\n\n: do" => true,
    comment_within_an_event_changes_nothing: b"data: a\n\n: note\ndata: b\n" => true,
}

#[test]
fn events_are_split_whatever_ends_their_lines() {
    for line_end in ["\n", "\r\n", "\r"] {
        assert_split_at_events(line_end);
    }
}
