//! More connections than the limit of a listener.

use crate::raw::Raw;
use crate::support::{MAX_CONNECTIONS, assert_serves, deployment};

const READINESS_REQUEST: &[u8] = b"GET /readyz HTTP/1.1\r\nhost: a\r\n\r\n";
const INCOMPLETE_HEAD: &[u8] = b"GET /readyz HTTP/1.1\r\n";

#[test]
fn one_connection_too_many_waits_until_a_slow_one_is_cut_off() {
    actix_rt::System::new().block_on(async {
        let deployment = deployment().await;
        let addr = deployment.entry(0).client_addr();
        let mut slow = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut raw = Raw::open(addr).await;
            raw.send(INCOMPLETE_HEAD).await;
            slow.push(raw);
        }
        let mut waiting = Raw::open(addr).await;
        waiting.send(READINESS_REQUEST).await;
        let reply = waiting.reply().await;
        assert_eq!(reply.status(), Some(200), "{}", reply.text);
        let cut = slow.iter_mut().filter_map(Raw::received).count();
        assert!(cut > 0, "the excess connection was served beside {MAX_CONNECTIONS} others");
        for mut raw in slow {
            assert_eq!(raw.reply_and_close().await.status(), Some(408));
        }
        assert_serves(deployment.entry(0), "too many connections").await;
    });
}
