//! Memory that open streams take in an entry.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use daisychute_standin::harness::wait_until;
use daisychute_testbed::{Deployment, DeploymentSpec};

use super::completion_client::{CompletionClient, Outcome};
use super::print_figure;
use super::proc_stat::resident_kib;
use crate::XtaskError;

const ENGINES: usize = 24;
const STREAMS: u64 = 1_000;
/// Length of a completion.
const TOKENS: u32 = 50;
/// Bounds the time until every stream has its first token.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// Wait before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const KIB_PER_MIB: f64 = 1_024.0;

pub(super) async fn run() -> Result<(), XtaskError> {
    let step_times = ["--token-us", "500000", "--prefill-us", "0", "--sequence-us", "0"];
    let batch_limit = ["--max-batch", "64"];
    let spec = DeploymentSpec::rabat_sale().services(0).engines(ENGINES).log_level("warn");
    let spec = step_times.into_iter().chain(batch_limit).fold(spec, DeploymentSpec::engine_arg);
    let mut deployment = Deployment::start(spec).await?;
    let pid = deployment.entry_mut(0).process().id();
    let idle = resident_kib(pid)?;
    let client = CompletionClient::new(deployment.entry(0).client_addr(), deployment.model());
    let open = Rc::new(Cell::new(0));
    for number in 0..STREAMS {
        // Prompts with a common prefix would be routed to the same engine.
        let prompt = format!("{number}: digest of the night");
        actix_rt::spawn(stream(client.clone(), prompt, open.clone()));
    }
    wait_until("every stream has its first token", START_TIMEOUT, || open.get() >= STREAMS).await?;
    let loaded = resident_kib(pid)?;
    print_figure("memory_idle", idle as f64 / KIB_PER_MIB, "MiB");
    print_figure("memory_with_1000_streams", loaded as f64 / KIB_PER_MIB, "MiB");
    print_figure(
        "memory_per_1000_streams",
        loaded.saturating_sub(idle) as f64 / KIB_PER_MIB,
        "MiB",
    );
    drop(deployment);
    Ok(())
}

/// Repeats the call until one response is complete. Counts the stream in `open` at its first token.
async fn stream(client: CompletionClient, prompt: String, open: Rc<Cell<u64>>) {
    let mut counted = false;
    let mut on_token = || {
        if !counted {
            counted = true;
            open.set(open.get() + 1);
        }
    };
    while let Outcome::Failed = client.complete(&prompt, TOKENS, &mut on_token).await {
        sleep(RETRY_DELAY).await;
    }
}
