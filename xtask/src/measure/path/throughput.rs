//! Requests that one entry carries on one core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use daisychute_testbed::{Deployment, Plan};
use futures_util::future::join_all;

use super::caller::{Caller, Outcome};
use super::figure;
use super::proc_stat::processor_time;
use crate::XtaskError;

const ENGINES: usize = 6;
/// Threads that call, and calls that each keeps open.
const THREADS: usize = 3;
const CALLS: usize = 24;
const WARM_UP: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(8);

#[derive(Debug, Default)]
struct Counts {
    answered: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let fast = ["--token-us", "0", "--prefill-us", "0", "--sequence-us", "0"];
    let plan = Plan::rabat_sale().services(0).engines(ENGINES).log_level("warn");
    let plan = fast.into_iter().fold(plan, Plan::engine_arg);
    let mut deployment = Deployment::start(plan).await?;
    let counts = Arc::new(Counts::default());
    let (addr, model) = (deployment.entry(0).client_addr(), deployment.model());
    let threads: Vec<_> = (0..THREADS).map(|_| call(addr, model, counts.clone())).collect();
    sleep(WARM_UP).await;
    let pid = deployment.entry_mut(0).process().id();
    let (start, used, answered) = (Instant::now(), processor_time(pid)?, counts.answered());
    sleep(SPAN).await;
    let span = start.elapsed().as_secs_f64();
    let used = (processor_time(pid)? - used).as_secs_f64();
    let answered = (counts.answered() - answered) as f64;
    counts.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        // A thread that panicked has printed why.
        let _ = thread.join();
    }
    deployment.stop().await?;
    figure("throughput", answered / span, "requests/s");
    figure("throughput_entry_processor", used / span, "cores");
    figure("throughput_per_core", answered / used, "requests/s");
    figure("throughput_failed", counts.failed.load(Ordering::Relaxed) as f64, "requests");
    Ok(())
}

impl Counts {
    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

fn call(addr: SocketAddr, model: &'static str, counts: Arc<Counts>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let caller = Caller::new(addr, model);
        let loops = (0..CALLS).map(|_| repeat(&caller, &counts));
        actix_rt::System::new().block_on(join_all(loops));
    })
}

async fn repeat(caller: &Caller, counts: &Counts) {
    while !counts.stop.load(Ordering::Relaxed) {
        match caller.complete("Digest of the night:", 1, || ()).await {
            Outcome::Answered(_) => counts.answered.fetch_add(1, Ordering::Relaxed),
            Outcome::Failed => counts.failed.fetch_add(1, Ordering::Relaxed),
        };
    }
}
