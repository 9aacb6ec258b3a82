//! Helpers shared by the tests of the stand-ins.

#![allow(dead_code, unreachable_pub, reason = "each test program uses a part of it")]

use std::net::SocketAddr;
use std::time::Duration;

use daisychute_core::{EngineTarget, NameError, Role};
use daisychute_standin::engine::EngineConfig;
use daisychute_standin::harness::{FullResponse, HarnessError};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Time limit for a condition to hold.
pub const LIMIT: Duration = Duration::from_secs(10);

/// Time limit of one test case.
const CASE_LIMIT: Duration = Duration::from_secs(60);

/// Last chunk of a complete chunked body.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// Defines a test function per case, which runs an async check.
macro_rules! cases {
    ($($name:ident: $check:expr,)*) => {$(
        #[test]
        fn $name() -> Result<(), daisychute_standin::harness::HarnessError> {
            actix_rt::System::new().block_on(common::within_deadline($check))
        }
    )*};
}
pub(crate) use cases;

/// Runs a test case and fails it at its time limit.
pub async fn within_deadline<T>(case: impl Future<Output = T>) -> T {
    actix_rt::time::timeout(CASE_LIMIT, case).await.expect("the case ends in time")
}

/// Status of a response, or zero if there was none.
pub fn status(response: &Result<FullResponse, HarnessError>) -> u16 {
    response.as_ref().map_or(0, |it| it.status.as_u16())
}

/// Sends a `GET` and returns all bytes until the server closes the connection.
pub async fn raw_get(addr: SocketAddr, path: String) -> String {
    raw_exchange(addr, format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n")).await
}

/// Sends a `POST` and returns all bytes until the server closes the connection.
pub async fn raw_post(addr: SocketAddr, path: &str, body: &Value) -> String {
    let body = body.to_string();
    let head = format!("POST {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Length: {}", body.len());
    raw_exchange(addr, format!("{head}\r\nConnection: close\r\n\r\n{body}")).await
}

async fn raw_exchange(addr: SocketAddr, req: String) -> String {
    let mut stream = TcpStream::connect(addr).await.expect("the server listens");
    stream.write_all(req.as_bytes()).await.expect("the server reads");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.expect("the server closes");
    String::from_utf8_lossy(&received).into_owned()
}

/// Body of a response as JSON, or null if it isn't JSON.
pub fn body(response: &FullResponse) -> Value {
    response.json().unwrap_or(Value::Null)
}

/// Target of an engine with the model of the tests.
pub fn target(role: Role, version: &str) -> EngineTarget {
    let parse = || -> Result<EngineTarget, NameError> {
        let model = "clerk-lm".try_into()?;
        Ok(EngineTarget { role, model, version: version.try_into()?, adapter: None })
    };
    parse().expect("the names are valid")
}

/// Configuration of an engine with steps of half a millisecond and reports without delay.
pub fn fast_engine() -> EngineConfig {
    EngineConfig {
        step: Duration::from_micros(500),
        prefill_token: Duration::ZERO,
        sequence: Duration::ZERO,
        change: Duration::from_millis(300),
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        ..EngineConfig::new(target(Role::Mixed, "1"))
    }
}

/// A completion request.
pub fn completion(id: &str, prompt: &str, max_tokens: u32) -> Value {
    json!({"model": "clerk-lm", "prompt": prompt, "max_tokens": max_tokens, "request_id": id})
}

/// Adds fields to a request.
pub fn with(mut req: Value, fields: &Value) -> Value {
    for (name, value) in fields.as_object().into_iter().flatten() {
        req[name.as_str()] = value.clone();
    }
    req
}

/// JSON events of a stream, without the event `[DONE]`.
pub fn events(text: &str) -> Vec<Value> {
    let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
    data.filter_map(|it| serde_json::from_str(it).ok()).collect()
}

/// Concatenated text of a stream's events.
pub fn streamed_text(text: &str) -> String {
    let choice = |it: &Value| {
        let choice = &it["choices"][0];
        choice["text"].as_str().or(choice["delta"]["content"].as_str()).map(str::to_owned)
    };
    events(text).iter().filter_map(choice).collect()
}
