//! The main job on embedded stand-ins, as separate processes on loopback.

use awc::http::Method;
use daisychute_platform_standin::{Act, Fleet, Paths, StandinError};
use daisychute_standin::harness::{Client, Program};
use daisychute_testbed::{Deployment, Plan};
use serde_json::{Value, json};

use crate::XtaskError;
use crate::test::cargo;

const DATA: &str = "data: ";
const DONE: &str = "[DONE]";
const KEY: &str = "count-0001";

pub(crate) fn run() -> Result<(), XtaskError> {
    cargo(&["build", "--workspace", "--bins", "--locked"])?;
    actix_rt::System::new().block_on(fronts())?;
    actix_rt::System::new().block_on(demo())
}

/// Two fronts before stand-ins of the users' platform: a stream whose prompt is read elsewhere, a call that runs once,
/// and a refusal.
async fn fronts() -> Result<(), XtaskError> {
    let mut fleet = Fleet::start(2).await?;
    println!("a store, 5 workers and 2 fronts are up\n");
    let (id, answer) = fleet.call(0, "POST", Paths::DIGEST).await?;
    println!("stream {id}: {} with {} events", answer.status, answer.body.matches("id:").count());
    let prefills: u32 = fleet.workers.iter().map(|it| it.seen().prefills).sum();
    if !(answer.status == 200 && answer.whole && prefills == 1) {
        return Err(XtaskError::Demo(
            "the stream is not whole, or its prompt was not read elsewhere",
        ));
    }
    let (id, answer) = fleet.call(1, "POST", Paths::COUNT).await?;
    println!("count {id}: {} ({} run)", answer.status, fleet.runs(&id));
    if !(answer.status == 200 && fleet.runs(&id) == 1) {
        return Err(XtaskError::Demo("the count did not run once"));
    }
    for worker in &fleet.workers {
        worker.script.set_default(Some(Act::Full));
    }
    let (id, answer) = fleet.call(0, "POST", Paths::COUNT).await?;
    let retry_after = answer.header("retry-after").unwrap_or_default();
    println!("count {id} with full workers: {}, Retry-After {retry_after}", answer.status);
    if !(answer.status == 503 && fleet.runs(&id) == 0) {
        return Err(XtaskError::Demo("a full worker was not told truly"));
    }
    for front in &mut fleet.fronts {
        front.process.terminate().map_err(StandinError::from)?;
    }
    for front in &mut fleet.fronts {
        if !front.wait_exit().await? {
            return Err(XtaskError::Demo("a front did not stop well"));
        }
    }
    println!("both fronts have stopped gracefully\n");
    Ok(())
}

async fn demo() -> Result<(), XtaskError> {
    let plan = Plan::rabat_sale().engines(2).services(2).entries(2);
    let mut deployment = Deployment::start(plan).await?;
    println!("a platform, 2 engines, 2 service workers, 4 agents and 2 entries are up\n");
    streamed_completion(&deployment.entry(0).client(), deployment.model()).await?;
    non_repeatable_call(&deployment).await?;
    status(&deployment).await?;
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
    let mut whole = false;
    while let Some(line) = res.line().await? {
        let Some(data) = line.strip_prefix(DATA) else { continue };
        if data == DONE {
            whole = true;
            break;
        }
        let event: Value =
            serde_json::from_str(data).map_err(|_| XtaskError::Demo("an event is no JSON"))?;
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    }
    println!("{text}\n");
    if whole && !text.is_empty() {
        Ok(())
    } else {
        Err(XtaskError::Demo("the streamed answer is not whole"))
    }
}

async fn non_repeatable_call(deployment: &Deployment) -> Result<(), XtaskError> {
    let body = json!({ "gate": 4, "passed": 1 });
    let answer = send_count(&deployment.entry(0).client(), &body).await?;
    println!("barrier count: {answer}\n");
    Ok(())
}

async fn send_count(client: &Client, body: &Value) -> Result<String, XtaskError> {
    let client = client.clone().header("Idempotency-Key", KEY);
    let answer = client.post("/services/sign-feed/counts", body).await?;
    if answer.status.is_success() {
        Ok(answer.text())
    } else {
        Err(XtaskError::Demo("the count was not answered"))
    }
}

async fn status(deployment: &Deployment) -> Result<(), XtaskError> {
    let mut cli = Program::built("daisychute")?
        .args(["--platform", &deployment.platform_url(), "--region", deployment.region(), "status"])
        .args(["--entry", &deployment.entry(0).admin_addr().to_string()])
        .start()?;
    let status = cli.wait_exit(std::time::Duration::from_secs(10)).await?;
    println!("daisychute status\n{}", cli.stdout().join("\n"));
    if status.success() { Ok(()) } else { Err(XtaskError::Demo("daisychute status failed")) }
}
