//! Objects on the platform that can't be parsed are told in the log of the planner's process, which goes on.

use std::time::Duration;

use daisychute_standin::harness::wait_for;
use daisychute_testbed::{Deployment, DeploymentSpec, TestbedError};
use serde_json::{Value, json};

/// How long an entry may take to log an object that can't be parsed, or to plan with a valid one.
const TIMEOUT: Duration = Duration::from_secs(20);
const API: &str = "/apis/daisychute.dev/v1";

/// One test for each kind of object that the planner reads.
macro_rules! malformed_objects {
    ($($name:ident: $kind:literal, $spec:expr => $line:literal;)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(is_logged_and_survived($kind, $spec, $line))
        }
    )*};
}

// Each guards against a planner that stands still without a word.
malformed_objects! {
    malformed_plan: "plans", json!({"term": "first"}) => "the plan can't be parsed";
    malformed_drains: "drains", json!({"endpoints": ["clerk-lm-0"]}) => "the drains can't be parsed";
}

/// Puts a malformed object in place of a valid one, and drains an engine. Once the log tells of the object, it is mended,
/// and the drain must get into the plan.
async fn is_logged_and_survived(kind: &str, spec: Value, line: &str) -> Result<(), TestbedError> {
    let mut deployment = Deployment::start(DeploymentSpec::rabat_sale()).await?;
    let drains = json!({"endpoints": {deployment.agents()[0].name(): true}});
    wait_for("a plan", TIMEOUT, async || plan(&deployment).await).await?;
    let valid_plan = plan(&deployment).await.unwrap_or_default();
    put(&deployment, kind, &spec).await?;
    if kind == "plans" {
        // The planner reads the plan again once it has something to write.
        put(&deployment, "drains", &drains).await?;
    }
    let log = |it: &mut Deployment| {
        let process = it.entry_mut(0).process();
        [process.stdout(), process.stderr()].concat()
    };
    let mut seen = Vec::new();
    let waited = wait_for("a line of the log", TIMEOUT, async || {
        seen = log(&mut deployment);
        seen.iter().any(|it| it.contains(line)).then_some(())
    });
    waited.await.unwrap_or_else(|it| panic!("{it}: {}", seen.join("\n")));
    if kind == "plans" {
        put(&deployment, "plans", &valid_plan).await?;
    } else {
        put(&deployment, "drains", &drains).await?;
    }
    let is_planned = async || {
        let endpoints = plan(&deployment).await?["endpoints"].as_object()?.clone();
        endpoints.values().any(|it| it["drain"] == true).then_some(())
    };
    wait_for("a drain in the plan", TIMEOUT, is_planned).await?;
    Ok(())
}

/// Content of the plan object; `None` if there is none.
async fn plan(deployment: &Deployment) -> Option<Value> {
    let response = deployment.platform().get(&path(deployment, "plans")).await.ok()?;
    let object: Value = response.status.is_success().then(|| response.json().ok())??;
    Some(object["spec"].clone())
}

/// Replaces the region's object of a kind, whatever its version.
async fn put(deployment: &Deployment, kind: &str, spec: &Value) -> Result<(), TestbedError> {
    let (platform, path) = (deployment.platform(), path(deployment, kind));
    let mut object = json!({
        "apiVersion": "daisychute.dev/v1", "kind": kind, "metadata": {"name": deployment.region()}, "spec": spec,
    });
    // The planner may write between the two calls.
    let written = wait_for("a write without a conflict", TIMEOUT, async || {
        let present = platform.get(&path).await.ok()?;
        let response = if present.status.is_success() {
            let present: Value = present.json().ok()?;
            object["metadata"]["resourceVersion"] = present["metadata"]["resourceVersion"].clone();
            platform.put(&path, &object).await
        } else {
            platform.post(&format!("{API}/{kind}"), &object).await
        };
        response.ok()?.status.is_success().then_some(())
    });
    Ok(written.await?)
}

fn path(deployment: &Deployment, kind: &str) -> String {
    format!("{API}/{kind}/{}", deployment.region())
}
