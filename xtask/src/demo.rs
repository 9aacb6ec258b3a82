//! Demo of the main functions with stand-ins, as separate processes on loopback.

use awc::http::Method;
use daisychute_platform_standin::{Act, Fleet, Paths, StandinError};
use daisychute_standin::harness::{Client, Program};
use daisychute_testbed::{Deployment, DeploymentSpec};
use serde_json::{Value, json};

use crate::XtaskError;
use crate::test::cargo;

/// Prefix of a data line of a server-sent event.
const DATA_PREFIX: &str = "data: ";
/// Data of the last event of a stream.
const DONE: &str = "[DONE]";
const IDEMPOTENCY_KEY: &str = "count-0001";

pub(crate) fn run() -> Result<(), XtaskError> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    actix_rt::System::new().block_on(demo_fronts())?;
    actix_rt::System::new().block_on(demo_entries())
}

/// Sends requests through two fronts to stand-ins of the users' platform: a stream with prefill on another worker, a
/// call that runs once, and one that is refused.
async fn demo_fronts() -> Result<(), XtaskError> {
    let mut fleet = Fleet::start(2).await?;
    println!("a store, 5 workers and 2 fronts are up\n");
    let (id, response) = fleet.call(0, "POST", Paths::DIGEST).await?;
    println!(
        "stream {id}: {} with {} events",
        response.status,
        response.body.matches("id:").count()
    );
    let prefills: u32 = fleet.workers.iter().map(|it| it.seen().prefills).sum();
    if !(response.status == 200 && response.whole && prefills == 1) {
        return Err(XtaskError::Demo(
            "the stream is incomplete, or its prefill did not run once on a separate worker",
        ));
    }
    let (id, response) = fleet.call(1, "POST", Paths::COUNT).await?;
    println!("count {id}: {} ({} run)", response.status, fleet.runs(&id));
    if !(response.status == 200 && fleet.runs(&id) == 1) {
        return Err(XtaskError::Demo("the count did not run once"));
    }
    for worker in &fleet.workers {
        worker.script.set_default(Some(Act::Full));
    }
    let (id, response) = fleet.call(0, "POST", Paths::COUNT).await?;
    let retry_after = response.header("retry-after").unwrap_or_default();
    println!("count {id} with full workers: {}, Retry-After {retry_after}", response.status);
    if !(response.status == 503 && fleet.runs(&id) == 0) {
        return Err(XtaskError::Demo(
            "a call to full workers was not refused with status 503, or it ran",
        ));
    }
    for front in &mut fleet.fronts {
        front.process.terminate().map_err(StandinError::from)?;
    }
    for front in &mut fleet.fronts {
        if !front.wait_exit().await? {
            return Err(XtaskError::Demo("a front did not shut down gracefully"));
        }
    }
    println!("both fronts have stopped gracefully\n");
    Ok(())
}

async fn demo_entries() -> Result<(), XtaskError> {
    let spec = DeploymentSpec::rabat_sale().engines(2).services(2).entries(2);
    let mut deployment = Deployment::start(spec).await?;
    println!("a platform, 2 engines, 2 service workers, 4 agents and 2 entries are up\n");
    streamed_completion(&deployment.entry(0).client(), deployment.model()).await?;
    non_repeatable_call(&deployment).await?;
    show_status(&deployment).await?;
    deployment.stop().await?;
    println!("\neverything has stopped gracefully");
    Ok(())
}

async fn streamed_completion(client: &Client, model: &str) -> Result<(), XtaskError> {
    let prompt = "Digest of tonight's incidents at the Agdal car park:";
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": 24, "stream": true });
    let mut res = client.open(Method::POST, "/v1/completions", Some(&body)).await?;
    println!("streamed completion: {}", res.status());
    let mut text = String::new();
    let mut complete = false;
    while let Some(line) = res.line().await? {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else { continue };
        if data == DONE {
            complete = true;
            break;
        }
        let event: Value =
            serde_json::from_str(data).map_err(|_| XtaskError::Demo("an event is not JSON"))?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    println!("{text}\n");
    if complete && !text.is_empty() {
        Ok(())
    } else {
        Err(XtaskError::Demo("the streamed response is incomplete or has no text"))
    }
}

async fn non_repeatable_call(deployment: &Deployment) -> Result<(), XtaskError> {
    let body = json!({ "gate": 4, "passed": 1 });
    let response = send_count(&deployment.entry(0).client(), &body).await?;
    println!("barrier count: {response}\n");
    Ok(())
}

async fn send_count(client: &Client, body: &Value) -> Result<String, XtaskError> {
    let client = client.clone().header("Idempotency-Key", IDEMPOTENCY_KEY);
    let response = client.post("/services/sign-feed/counts", body).await?;
    if response.status.is_success() {
        Ok(response.text())
    } else {
        Err(XtaskError::Demo("the count did not succeed"))
    }
}

async fn show_status(deployment: &Deployment) -> Result<(), XtaskError> {
    let mut cli = Program::built("daisychute")?
        .args(["--platform", &deployment.platform_url(), "--region", deployment.region(), "status"])
        .args(["--entry", &deployment.entry(0).admin_addr().to_string()])
        .start()?;
    let status = cli.wait_exit(std::time::Duration::from_secs(10)).await?;
    println!("daisychute status\n{}", cli.stdout().join("\n"));
    if status.success() { Ok(()) } else { Err(XtaskError::Demo("daisychute status failed")) }
}
