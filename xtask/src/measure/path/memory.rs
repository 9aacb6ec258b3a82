//! The memory that open streams take in an entry.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::sleep;
use daisychute_standin::harness::wait_until;
use daisychute_testbed::{Deployment, Plan};

use super::caller::{Caller, Outcome};
use super::figure;
use super::proc_stat::resident_kib;
use crate::XtaskError;

const ENGINES: usize = 24;
const STREAMS: u64 = 1_000;
const TOKENS: u32 = 50;
const OPEN: Duration = Duration::from_secs(15);
const AGAIN: Duration = Duration::from_millis(100);
const KIB_PER_MIB: f64 = 1_024.0;

pub(super) async fn run() -> Result<(), XtaskError> {
    let steps = ["--token-us", "500000", "--prefill-us", "0", "--sequence-us", "0"];
    let batch = ["--max-batch", "64"];
    let plan = Plan::rabat_sale().services(0).engines(ENGINES).log_level("warn");
    let plan = steps.into_iter().chain(batch).fold(plan, Plan::engine_arg);
    let mut deployment = Deployment::start(plan).await?;
    let pid = deployment.entry_mut(0).process().id();
    let idle = resident_kib(pid)?;
    let caller = Caller::new(deployment.entry(0).client_addr(), deployment.model());
    let open = Rc::new(Cell::new(0));
    for number in 0..STREAMS {
        // Prompts with a common beginning would be sent to one engine.
        let prompt = format!("{number}: digest of the night");
        actix_rt::spawn(stream(caller.clone(), prompt, open.clone()));
    }
    wait_until("every stream has its first token", OPEN, || open.get() >= STREAMS).await?;
    let busy = resident_kib(pid)?;
    figure("memory_idle", idle as f64 / KIB_PER_MIB, "MiB");
    figure("memory_with_1000_streams", busy as f64 / KIB_PER_MIB, "MiB");
    figure("memory_per_1000_streams", busy.saturating_sub(idle) as f64 / KIB_PER_MIB, "MiB");
    drop(deployment);
    Ok(())
}

/// Streams until one answer is whole; a call that is refused is made again.
async fn stream(caller: Caller, prompt: String, open: Rc<Cell<u64>>) {
    let mut counted = false;
    let mut on_token = || {
        if !counted {
            counted = true;
            open.set(open.get() + 1);
        }
    };
    while let Outcome::Failed = caller.complete(&prompt, TOKENS, &mut on_token).await {
        sleep(AGAIN).await;
    }
}
