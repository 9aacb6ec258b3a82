//! Parsing of log lines and the causes derived from them.

use daisychute_explain::{Explanation, LogLine};
use quickcheck::quickcheck;

fn line(time: u32, process: &str, message: &str, fields: &[(&str, &str)]) -> LogLine {
    let fields = fields.iter().map(|(key, it)| ((*key).to_owned(), (*it).to_owned())).collect();
    LogLine {
        time: format!("2026-01-01T00:00:{time:02}Z"),
        process: process.to_owned(),
        message: message.to_owned(),
        fields,
    }
}

/// The last line of request `r`.
fn ended(outcome: &str, reason: &str) -> LogLine {
    let fields = [
        ("request", "r"),
        ("outcome", outcome),
        ("reason", reason),
        ("trail", "run at i-1 after 3 ms; "),
        ("retry_after_ms", "Some(250)"),
    ];
    line(9, "front-1", "request ended", &fields)
}

macro_rules! causes {
    ($($name:ident: $lines:expr => $expected:expr,)*) => {$(
        #[test]
        fn $name() {
            let explanation = Explanation::of("r", &$lines).expect("the request is in the log");
            assert!(explanation.cause.contains($expected), "{}", explanation.cause);
        }
    )*};
}

causes! {
    overload: [ended("refused", "overload")] => "refused at once",
    broken_stream: [
        line(5, "front-1", "sent", &[("request", "r"), ("endpoint", "i-1")]),
        ended("cut", "broken"),
    ] => "i-1 broke off",
    directory_unreachable: [
        line(2, "front-1", "directory lost; what is known stays in force", &[("error", "timeout")]),
        ended("refused", "no_configuration"),
    ] => "had not answered it since 2026-01-01T00:00:02Z",
    directory_recovered: [
        line(2, "front-1", "directory lost; what is known stays in force", &[]),
        line(3, "front-1", "directory regained", &[]),
        ended("refused", "no_endpoint"),
    ] => "no endpoint of the service accepted work",
    paused: [
        line(5, "front-1", "endpoint asked for a pause", &[("endpoint", "i-1"), ("pause_ms", "4000")]),
        line(6, "front-1", "endpoint asked for a pause", &[("endpoint", "i-2"), ("pause_ms", "1500")]),
        line(6, "front-2", "endpoint asked for a pause", &[("endpoint", "i-3"), ("pause_ms", "1500")]),
        ended("refused", "paused"),
    ] => "had asked for a pause (last: i-1, 4000 ms; i-2, 1500 ms); Retry-After 250 ms",
    all_leaving: [
        line(5, "front-1", "endpoint announced that it is leaving", &[("endpoint", "i-1")]),
        ended("refused", "no_endpoint"),
    ] => "no endpoint of the service accepted work; i-1 had announced to leave",
    limited: [
        line(4, "front-1", "endpoint names another limit", &[("endpoint", "i-1"), ("per_second", "5")]),
        line(5, "front-1", "endpoint names another limit", &[("endpoint", "i-2"), ("per_second", "2.5")]),
        line(6, "front-1", "endpoint names another limit", &[("endpoint", "i-1"), ("per_second", "4")]),
        line(7, "front-2", "endpoint names another limit", &[("endpoint", "i-3"), ("per_second", "1")]),
        ended("refused", "limited"),
    ] => "could take it (last: i-1, 4 per second; i-2, 2.5 per second); Retry-After 250 ms",
    quarantined: [
        line(4, "front-1", "prompt part quarantined: engines ended under its requests", &[("part_key", "0b")]),
        line(5, "front-1", "prompt part quarantined: engines ended under its requests", &[("part_key", "0a")]),
        line(9, "front-1", "request has a quarantined prompt part",
            &[("request", "r"), ("part", "5c1e"), ("part_key", "0a"), ("for_ms", "41000")]),
        ended("refused", "quarantined"),
    ] => "not run: part 5c1e of its prompt (key 0a) is quarantined since 2026-01-01T00:00:05Z",
    quarantined_before_a_retry: [
        line(9, "front-1", "request has a quarantined prompt part",
            &[("request", "r"), ("part", "5c1e"), ("part_key", "0a"), ("for_ms", "41000")]),
        ended("failed", "quarantined"),
    ] => "failed by front-1 after run at i-1 after 3 ms;: part 5c1e",
    request_quarantined: [
        line(4, "front-1", "request quarantined: endpoints ended under it", &[("fingerprint", "0a")]),
        line(5, "front-1", "request quarantined: endpoints ended under it", &[("fingerprint", "0b")]),
        line(9, "front-1", "request is quarantined",
            &[("request", "r"), ("fingerprint", "0a"), ("for_ms", "41000")]),
        ended("refused", "quarantined"),
    ] => "not run: the same request (fingerprint 0a) is quarantined since 2026-01-01T00:00:04Z, as endpoints ended under it",
    origin_unknown: [ended("refused", "origin_unknown")] => "didn't know which software version",
    version_gone: [ended("refused", "version_gone")] => "no endpoint of the software version",
    unknown_key: [ended("failed", "unknown_key")] => "no key of an account in version",
    deadline: [ended("failed", "deadline")] => "the deadline passed after",
    lost_with_the_process: [line(1, "front-1", "sent", &[("request", "r")])] => "hasn't ended",
}

#[test]
fn both_formats_are_read() {
    let json =
        r#"  3.1 front-1 {"time":"t","process":"p","message":"sent","request":"r","sends":0}"#;
    let pairs =
        r#"time=t level=INFO process=p message="request ended" request="r" trail="a \"b\"; ""#;
    let json = LogLine::parse(json).expect("a line");
    assert_eq!((json.field("request"), json.field("sends")), ("r", "0"));
    let pairs = LogLine::parse(pairs).expect("a line");
    assert_eq!((pairs.message.as_str(), pairs.field("trail")), ("request ended", "a \"b\"; "));
}

quickcheck! {
    fn any_text_is_read_without_panic(text: String) -> bool {
        let _ = LogLine::parse(&text);
        let _ = LogLine::parse(&format!("time={text}"));
        let _ = LogLine::parse(&format!("{{\"time\":{text}"));
        true
    }
}
