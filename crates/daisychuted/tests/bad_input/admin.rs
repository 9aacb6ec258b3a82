//! Bad requests on the admin listeners of an entry and of an agent.

use crate::raw::Raw;
use crate::support::{assert_serves, deployment};

/// Bad requests and their expected status. The last two are answered by the HTTP library.
const CASES: [(&str, &[u8], u16); 6] = [
    ("unknown_path", b"GET /nothing HTTP/1.1\r\nhost: a\r\n\r\n", 404),
    ("unknown_method", b"POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n", 405),
    ("body_where_none_is_taken", b"PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}", 405),
    ("malformed_chunk", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz", 405),
    ("garbage", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    ("slow_head", b"GET / HTTP/1.1\r\nhost:", 408),
];

#[test]
fn each_bad_request_gets_its_status() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let long = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "a".repeat(3 << 10));
        let oversized = ("oversized_head", long.as_bytes(), 431);
        let listeners = [deployment.entry(0).admin_addr(), deployment.agents()[0].admin_addr()];
        for listener in listeners {
            for (name, bytes, status) in CASES.into_iter().chain([oversized]) {
                let mut raw = Raw::open(listener).await;
                raw.send(bytes).await;
                let reply = raw.reply().await;
                assert_eq!(reply.status(), Some(status), "{name}: {}", reply.text);
                let status = deployment.entry(0).admin().get("/status").await;
                assert!(status.is_ok_and(|it| it.status.is_success()), "status after {name}");
            }
        }
        assert_serves(deployment.entry(0), "bad requests on the admin listeners").await;
    });
}
