//! The processor share of an entry that streams.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{interval, sleep};
use daisychute_testbed::{Deployment, Plan};

use super::caller::{Caller, Outcome};
use super::proc_stat::processor_time;
use super::{figure, target};
use crate::XtaskError;

const ENGINES: usize = 4;
/// 13 requests a second.
const INTERVAL: Duration = Duration::from_micros(76_923);
/// 13 requests of so many tokens a second are 3,700 tokens a second.
const TOKENS: u32 = 285;
/// From the first request on, until as many end as begin.
const WARM_UP: Duration = Duration::from_secs(14);
const SPAN: Duration = Duration::from_secs(15);
const PERCENT: f64 = 100.0;
/// Target in percent of a core.
const SHARE_BELOW: f64 = 5.0;

#[derive(Debug, Default)]
struct Counts {
    tokens: Cell<u64>,
    begun: Cell<u64>,
    failed: Cell<u64>,
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let steps = ["--token-us", "38000", "--prefill-us", "0", "--sequence-us", "0"];
    let batch = ["--max-batch", "64"];
    let plan = Plan::rabat_sale().services(0).engines(ENGINES).log_level("info");
    let plan = steps.into_iter().chain(batch).fold(plan, Plan::engine_arg);
    let mut deployment = Deployment::start(plan).await?;
    let pid = deployment.entry_mut(0).process().id();
    let caller = Caller::new(deployment.entry(0).client_addr(), deployment.model());
    let counts = Rc::new(Counts::default());
    let calls = actix_rt::spawn(begin(caller, counts.clone()));
    sleep(WARM_UP).await;
    let (start, used) = (Instant::now(), processor_time(pid)?);
    let (tokens, begun) = (counts.tokens.get(), counts.begun.get());
    sleep(SPAN).await;
    let span = start.elapsed().as_secs_f64();
    let share = (processor_time(pid)? - used).as_secs_f64() / span * PERCENT;
    figure("processor_requests", (counts.begun.get() - begun) as f64 / span, "requests/s");
    figure("processor_tokens", (counts.tokens.get() - tokens) as f64 / span, "tokens/s");
    figure("processor_failed", counts.failed.get() as f64, "requests");
    figure("processor_share", share, "percent");
    target("processor_share", share, SHARE_BELOW);
    calls.abort();
    drop(deployment);
    Ok(())
}

async fn begin(caller: Caller, counts: Rc<Counts>) {
    let mut ticks = interval(INTERVAL);
    loop {
        ticks.tick().await;
        let (caller, counts) = (caller.clone(), counts.clone());
        actix_rt::spawn(async move {
            counts.begun.set(counts.begun.get() + 1);
            let on_token = || counts.tokens.set(counts.tokens.get() + 1);
            let outcome = caller.complete("Digest of the night:", TOKENS, on_token).await;
            if let Outcome::Failed = outcome {
                counts.failed.set(counts.failed.get() + 1);
            }
        });
    }
}
