//! Targets that the endpoints can't meet are found, with their messages.

use std::time::Duration;

use daisychute_settings::{ConfigurationFile, EndpointCapability, unmeetable_targets};

const FAST: EndpointCapability = EndpointCapability {
    first_token: Some(Duration::from_millis(200)),
    between_tokens: Some(Duration::from_millis(15)),
    throughput: Some(900.0),
};
const SLOW: EndpointCapability = EndpointCapability {
    first_token: Some(Duration::from_secs(1)),
    between_tokens: Some(Duration::from_millis(40)),
    throughput: Some(400.0),
};
const UNMEASURED: EndpointCapability =
    EndpointCapability { first_token: None, between_tokens: None, throughput: None };

macro_rules! targets {
    ($($name:ident: $class:literal with $endpoints:expr => $expected:expr,)*) => {$(
        #[test]
        fn $name() {
            let text = format!("[class a]\n{}\n[class b]\nthroughput = 400\n", $class);
            let file = ConfigurationFile::parse("test.ini", &text).expect("a valid file");
            let found = unmeetable_targets(file.configuration(), &$endpoints);
            let messages: Vec<_> = found.iter().map(ToString::to_string).collect();
            let expected: &[&str] = &$expected;
            assert_eq!(messages, expected);
        }
    )*};
}

targets! {
    all_met: "first-token = 200ms\nbetween-tokens = 15ms\nthroughput = 900" with [FAST, SLOW] => [],
    no_endpoints: "first-token = 1ms" with [] => [],
    one_endpoint_unmeasured: "first-token = 1ms\nthroughput = 9000" with [FAST, UNMEASURED] => [],
    first_token: "first-token = 199ms" with [FAST, SLOW] =>
        ["class a: first-token = 199ms, and no endpoint starts a response in less than 200ms"],
    deadline: "deadline = 500ms" with [SLOW] =>
        ["class a: deadline = 500ms, and no endpoint starts a response in less than 1s"],
    between_tokens: "between-tokens = 10ms" with [FAST, SLOW] =>
        ["class a: between-tokens = 10ms, and no endpoint generates a token in less than 15ms"],
    throughput: "throughput = 901" with [FAST, SLOW] =>
        ["the throughputs of all classes add up to 1301 tokens/s, but all endpoints together generate only 1300"],
}
