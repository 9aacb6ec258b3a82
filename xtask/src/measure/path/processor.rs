//! Processor share of an entry that relays streams.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{interval, sleep};
use daisychute_testbed::{Deployment, DeploymentSpec};

use super::completion_client::{CompletionClient, Outcome};
use super::proc_stat::processor_time;
use super::{print_figure, print_verdict};
use crate::XtaskError;

const ENGINES: usize = 4;
/// Time between two requests: 13 requests per second.
const INTERVAL: Duration = Duration::from_micros(76_923);
/// Length of a completion: 13 requests per second are 3,700 tokens per second.
const TOKENS: u32 = 285;
/// Time from the first request until as many streams end as begin.
const WARM_UP: Duration = Duration::from_secs(14);
/// Duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(15);
const PERCENT: f64 = 100.0;
/// Target in percent of a core.
const SHARE_TARGET_PERCENT: f64 = 5.0;

/// Counters of all streams since the start.
#[derive(Debug, Default)]
struct Counts {
    tokens: Cell<u64>,
    started: Cell<u64>,
    failed: Cell<u64>,
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let step_times = ["--token-us", "38000", "--prefill-us", "0", "--sequence-us", "0"];
    let batch_limit = ["--max-batch", "64"];
    let spec = DeploymentSpec::rabat_sale().services(0).engines(ENGINES).log_level("info");
    let spec = step_times.into_iter().chain(batch_limit).fold(spec, DeploymentSpec::engine_arg);
    let mut deployment = Deployment::start(spec).await?;
    let pid = deployment.entry_mut(0).process().id();
    let client = CompletionClient::new(deployment.entry(0).client_addr(), deployment.model());
    let counts = Rc::new(Counts::default());
    let calls = actix_rt::spawn(start_streams(client, counts.clone()));
    sleep(WARM_UP).await;
    let (start, used) = (Instant::now(), processor_time(pid)?);
    let (tokens, started) = (counts.tokens.get(), counts.started.get());
    sleep(MEASURED_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let share = (processor_time(pid)? - used).as_secs_f64() / seconds * PERCENT;
    print_figure(
        "processor_requests",
        (counts.started.get() - started) as f64 / seconds,
        "requests/s",
    );
    print_figure("processor_tokens", (counts.tokens.get() - tokens) as f64 / seconds, "tokens/s");
    print_figure("processor_failed", counts.failed.get() as f64, "requests");
    print_figure("processor_share", share, "percent");
    print_verdict("processor_share", share, SHARE_TARGET_PERCENT);
    calls.abort();
    drop(deployment);
    Ok(())
}

/// Starts a stream every [`INTERVAL`], without end.
async fn start_streams(client: CompletionClient, counts: Rc<Counts>) {
    let mut ticks = interval(INTERVAL);
    loop {
        ticks.tick().await;
        let (client, counts) = (client.clone(), counts.clone());
        actix_rt::spawn(async move {
            counts.started.set(counts.started.get() + 1);
            let on_token = || counts.tokens.set(counts.tokens.get() + 1);
            let outcome = client.complete("Digest of the night:", TOKENS, on_token).await;
            if let Outcome::Failed = outcome {
                counts.failed.set(counts.failed.get() + 1);
            }
        });
    }
}
