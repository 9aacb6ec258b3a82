//! The memory that open streams take in an entry.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use daisychute_standin::harness::wait_until;
use daisychute_testbed::{Deployment, Plan};

use super::caller::Caller;
use super::figure;
use super::proc_stat::resident_kib;
use crate::XtaskError;

const ENGINES: usize = 20;
const STREAMS: u64 = 1_000;
const TOKENS: u32 = 50;
const OPEN: Duration = Duration::from_secs(15);
const KIB_PER_MIB: f64 = 1_024.0;

pub(super) async fn run() -> Result<(), XtaskError> {
    let steps = ["--token-us", "500000", "--prefill-us", "0", "--sequence-us", "0"];
    let batch = ["--max-batch", "64"];
    let plan = Plan::rabat_sale().services(0).engines(ENGINES).log_level("warn");
    let plan = steps.into_iter().chain(batch).fold(plan, Plan::engine_arg);
    let mut deployment = Deployment::start(plan).await?;
    let pid = deployment.entry_mut(0).process().id();
    let idle = resident_kib(pid)?;
    let caller = Caller::new(deployment.entry(0).callers(), deployment.model());
    let open = Rc::new(Cell::new(0));
    for _ in 0..STREAMS {
        actix_rt::spawn(stream(caller.clone(), open.clone()));
    }
    wait_until("every stream has its first token", OPEN, || open.get() >= STREAMS).await?;
    let busy = resident_kib(pid)?;
    figure("memory_idle", idle as f64 / KIB_PER_MIB, "MiB");
    figure("memory_with_1000_streams", busy as f64 / KIB_PER_MIB, "MiB");
    figure("memory_per_1000_streams", busy.saturating_sub(idle) as f64 / KIB_PER_MIB, "MiB");
    drop(deployment);
    Ok(())
}

async fn stream(caller: Caller, open: Rc<Cell<u64>>) {
    let mut counted = false;
    let on_token = || {
        if !counted {
            counted = true;
            open.set(open.get() + 1);
        }
    };
    // The measurement ends before the stream does.
    let _ = caller.complete("Digest of the night:", TOKENS, on_token).await;
}
