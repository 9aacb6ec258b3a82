//! The deployment of these tests.

use daisychute_testbed::{Deployment, EntryNode, Plan};
use serde_json::json;

/// Connections that a listener takes at once.
pub(crate) const CONNECTIONS: usize = 8;

/// One entry, one engine and one service worker with small bounds.
pub(crate) async fn deployment() -> Deployment {
    let limits = format!(
        "[limits]\nbody-bytes = 4KiB\nheader-bytes = 2KiB\nrequest-timeout = 500ms\n\
         connections = {CONNECTIONS}\n"
    );
    let plan = Plan::rabat_sale().daemon_sections(limits);
    Deployment::start(plan).await.expect("the deployment starts")
}

/// Sends one good completion and one good call.
pub(crate) async fn serves(entry: &EntryNode, after: &str) {
    let body = json!({"model": "clerk-lm", "prompt": "Digest:", "max_tokens": 2});
    let answer = entry.client().post("/v1/completions", &body).await;
    let answer = answer.unwrap_or_else(|it| panic!("a completion after {after}: {it}"));
    assert_eq!(answer.status.as_u16(), 200, "a completion after {after}: {}", answer.text());
    let answer = entry.client().post("/services/sign-feed/counts", &json!({"passed": 1})).await;
    let answer = answer.unwrap_or_else(|it| panic!("a call after {after}: {it}"));
    assert_eq!(answer.status.as_u16(), 200, "a call after {after}: {}", answer.text());
}
