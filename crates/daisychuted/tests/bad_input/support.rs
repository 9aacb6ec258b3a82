//! The deployment and the checks that these tests share.

use daisychute_testbed::{Deployment, DeploymentSpec, EntryNode};
use serde_json::json;

/// Maximum concurrent connections of a listener.
pub(crate) const MAX_CONNECTIONS: usize = 8;

/// One entry, one engine and one service worker, with low limits.
pub(crate) async fn deployment() -> Deployment {
    let limits = format!(
        "[limits]\nbody-bytes = 4KiB\nheader-bytes = 2KiB\nrequest-timeout = 500ms\n\
         connections = {MAX_CONNECTIONS}\n"
    );
    let spec = DeploymentSpec::rabat_sale().daemon_sections(limits);
    Deployment::start(spec).await.expect("the deployment starts")
}

/// Asserts that a valid completion and a valid service call succeed. `after` names the preceding bad input.
pub(crate) async fn assert_serves(entry: &EntryNode, after: &str) {
    let body = json!({"model": "clerk-lm", "prompt": "Digest:", "max_tokens": 2});
    let response = entry.client().post("/v1/completions", &body).await;
    let response = response.unwrap_or_else(|it| panic!("a completion after {after}: {it}"));
    assert_eq!(response.status.as_u16(), 200, "a completion after {after}: {}", response.text());
    let response = entry.client().post("/services/sign-feed/counts", &json!({"passed": 1})).await;
    let response = response.unwrap_or_else(|it| panic!("a call after {after}: {it}"));
    assert_eq!(response.status.as_u16(), 200, "a call after {after}: {}", response.text());
}
