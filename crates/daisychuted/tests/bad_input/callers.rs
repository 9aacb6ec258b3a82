//! Bad requests of clients.

use daisychute_testbed::Deployment;

use crate::raw::Raw;
use crate::support::{assert_serves, deployment};

/// A bad request and its expected error.
struct Case {
    name: &'static str,
    request: String,
    status: u16,
    /// Expected error code in the JSON body.
    code: &'static str,
}

macro_rules! cases {
    ($($name:ident: $request:expr => $status:literal $code:literal,)*) => {
        fn cases() -> Vec<Case> {
            vec![$(Case {
                name: stringify!($name),
                request: $request,
                status: $status,
                code: $code,
            },)*]
        }
    };
}

cases! {
    unknown_path: get("/nothing") => 404 "no_such_path",
    unknown_method: get("/v1/completions") => 405 "no_such_method",
    no_tenant: post("/v1/completions", "", VALID_COMPLETION) => 401 "unknown_tenant",
    unknown_tenant: post("/v1/completions", "x-daisychute-tenant: nobody\r\n", VALID_COMPLETION)
        => 401 "unknown_tenant",
    unknown_token: post("/v1/completions", "authorization: Bearer none\r\n", VALID_COMPLETION)
        => 401 "unknown_tenant",
    malformed_tenant: post("/v1/completions", "x-daisychute-tenant: a b\r\n", VALID_COMPLETION)
        => 400 "bad_header",
    unknown_class: completion_in_class("nothing") => 403 "class_not_allowed",
    malformed_class: completion_in_class("a b") => 400 "bad_header",
    empty_key: post("/services/sign-feed/counts", "x-daisychute-tenant: clerks\r\nidempotency-key:\r\n", "{}")
        => 400 "bad_header",
    long_key: post("/services/sign-feed/counts", &long_key(), "{}") => 400 "bad_header",
    empty_body: completion("") => 400 "malformed_body",
    malformed_json: completion("{\"model\":") => 400 "malformed_body",
    json_of_another_kind: completion("[1, 2]") => 400 "malformed_body",
    no_model: completion("{\"prompt\": \"a\"}") => 400 "malformed_body",
    wrong_type: completion("{\"model\": 7, \"prompt\": \"a\"}") => 400 "malformed_body",
    negative_max_tokens: completion("{\"model\": \"clerk-lm\", \"prompt\": \"a\", \"max_tokens\": -1}")
        => 400 "malformed_body",
    deep_json: completion(&"[".repeat(2_000)) => 400 "malformed_body",
    no_tokens: completion("{\"model\": \"clerk-lm\", \"prompt\": \"a\", \"max_tokens\": 0}")
        => 400 "bad_field",
    no_prompt: completion("{\"model\": \"clerk-lm\"}") => 400 "bad_field",
    several_choices: completion("{\"model\": \"clerk-lm\", \"prompt\": \"a\", \"n\": 2}")
        => 400 "bad_field",
    unknown_model: completion("{\"model\": \"other\", \"prompt\": \"a\"}") => 404 "no_such_model",
    unknown_adapter: completion("{\"model\": \"clerk-lm:other\", \"prompt\": \"a\"}")
        => 404 "no_such_model",
    unknown_service: post("/services/other/counts", TENANT, "{}") => 404 "no_such_service",
    unknown_route: post("/services/sign-feed/other", TENANT, "{}") => 404 "no_such_route",
    oversized_body: completion(&"a".repeat(5 << 10)) => 413 "body_too_large",
    oversized_chunked_body: chunked(&"a".repeat(5 << 10)) => 413 "body_too_large",
    malformed_chunk: format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\n{TENANT}transfer-encoding: chunked\r\n\r\nzz\r\n")
        => 400 "body_broken",
    oversized_header: post("/v1/completions", &format!("{TENANT}x-long: {}\r\n", "a".repeat(3 << 10)), VALID_COMPLETION)
        => 431 "head_too_large",
    oversized_path: get(&format!("/{}", "a".repeat(3 << 10))) => 431 "head_too_large",
    slow_body: SLOW_BODY.to_owned() => 408 "body_too_slow",
}

/// Bytes that are not HTTP, or an incomplete head, with the expected status. The HTTP library answers these itself.
const NOT_HTTP: [(&str, &[u8], Option<u16>); 5] = [
    ("garbage", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", Some(400)),
    ("malformed_request_line", b"GET\r\n\r\n", Some(400)),
    ("malformed_header", b"GET / HTTP/1.1\r\nno colon\r\n\r\n", Some(400)),
    ("malformed_length", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: many\r\n\r\n", Some(400)),
    ("slow_head", b"GET / HTTP/1.1\r\nhost:", Some(408)),
];

const TENANT: &str = "x-daisychute-tenant: clerks\r\n";
/// A request head that announces 90 bytes, with only the first of them.
const SLOW_BODY: &str = "POST /v1/completions HTTP/1.1\r\nhost: a\r\nx-daisychute-tenant: clerks\r\n\
    content-length: 90\r\n\r\n{";
const VALID_COMPLETION: &str = "{\"model\": \"clerk-lm\", \"prompt\": \"a\", \"max_tokens\": 1}";

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn completion(body: &str) -> String {
    post("/v1/completions", TENANT, body)
}

fn completion_in_class(class: &str) -> String {
    post("/v1/completions", &format!("{TENANT}x-daisychute-class: {class}\r\n"), VALID_COMPLETION)
}

fn long_key() -> String {
    format!("{TENANT}idempotency-key: {}\r\n", "k".repeat(256))
}

fn chunked(body: &str) -> String {
    let length = body.len();
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\n{TENANT}transfer-encoding: chunked\r\n\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    )
}

#[test]
fn each_bad_request_gets_its_error() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let mut failures = Vec::new();
        for case in cases() {
            failures.extend(check_response(&deployment, &case).await);
            assert_serves(deployment.entry(0), case.name).await;
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

/// Sends the request and describes what is wrong with the response; `None` if it is as expected.
async fn check_response(deployment: &Deployment, case: &Case) -> Option<String> {
    let mut raw = Raw::open(deployment.entry(0).client_addr()).await;
    raw.send(case.request.as_bytes()).await;
    let reply = raw.reply().await;
    let error = reply.error().unwrap_or_default();
    let as_expected = reply.status() == Some(case.status)
        && error["code"] == case.code
        && error["message"].as_str().is_some_and(|it| !it.is_empty())
        && error["outcome"] == "not_run";
    (!as_expected).then(|| format!("{}: {}", case.name, reply.text))
}

#[test]
fn what_is_no_http_is_refused_and_cut_off() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let mut failures = Vec::new();
        for (name, bytes, status) in NOT_HTTP {
            let mut raw = Raw::open(deployment.entry(0).client_addr()).await;
            raw.send(bytes).await;
            let reply = raw.reply_and_close().await;
            if reply.status() != status {
                failures.push(format!("{name}: {}", reply.text));
            }
            assert_serves(deployment.entry(0), name).await;
        }
        assert!(failures.is_empty(), "{}", failures.join("\n"));
    });
}

#[test]
fn a_slow_body_is_cut_off_after_its_error() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let mut raw = Raw::open(deployment.entry(0).client_addr()).await;
        raw.send(SLOW_BODY.as_bytes()).await;
        let reply = raw.reply_and_close().await;
        assert_eq!(reply.status(), Some(408), "{}", reply.text);
        assert_eq!(reply.error().unwrap_or_default()["code"], "body_too_slow", "{}", reply.text);
        assert_serves(deployment.entry(0), "a slow body").await;
    });
}

// Guards against a client that drops a `Retry-After` with a fraction, and returns at once or never (RFC 9110, 10.2.3).
#[test]
fn refusal_names_whole_seconds() {
    actix_rt::System::new().block_on(async {
        let mut deployment = deployment().await;
        for agent in deployment.agents_mut() {
            agent.stop().await.expect("the agent stops");
        }
        let mut raw = Raw::open(deployment.entry(0).client_addr()).await;
        raw.send(completion(VALID_COMPLETION).as_bytes()).await;
        let reply = raw.reply().await;
        assert_eq!(reply.status(), Some(503), "{}", reply.text);
        let value = reply.header("retry-after").expect("a refusal names a delay");
        assert!(value.bytes().all(|it| it.is_ascii_digit()), "{}", reply.text);
        let seconds: u64 = value.parse().expect("a number");
        let delay_ms = reply.error().unwrap_or_default()["retry_after_ms"].as_u64();
        let delay_ms = delay_ms.expect("the body names the delay, too");
        assert!(seconds > 0 && seconds * 1_000 >= delay_ms, "{}", reply.text);
    });
}
