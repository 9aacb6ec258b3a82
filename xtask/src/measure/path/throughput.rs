//! Requests per second of one entry, in all and per core that it uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use daisychute_testbed::{Deployment, DeploymentSpec};
use futures_util::future::join_all;

use super::completion_client::{CompletionClient, Outcome};
use super::print_figure;
use super::proc_stat::processor_time;
use crate::XtaskError;

const ENGINES: usize = 6;
/// Number of client threads.
const THREADS: usize = 3;
/// Calls that each thread keeps in flight.
const CALLS_PER_THREAD: usize = 24;
const WARM_UP: Duration = Duration::from_secs(2);
/// Duration of the measurement.
const MEASURED_TIME: Duration = Duration::from_secs(8);

/// Counters of all threads, and the flag that ends them.
#[derive(Debug, Default)]
struct Counts {
    completed: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let step_times = ["--token-us", "0", "--prefill-us", "0", "--sequence-us", "0"];
    let spec = DeploymentSpec::rabat_sale().services(0).engines(ENGINES).log_level("warn");
    let spec = step_times.into_iter().fold(spec, DeploymentSpec::engine_arg);
    let mut deployment = Deployment::start(spec).await?;
    let counts = Arc::new(Counts::default());
    let (addr, model) = (deployment.entry(0).client_addr(), deployment.model());
    let threads: Vec<_> =
        (0..THREADS).map(|_| spawn_clients(addr, model, counts.clone())).collect();
    sleep(WARM_UP).await;
    let pid = deployment.entry_mut(0).process().id();
    let (start, used, completed) = (Instant::now(), processor_time(pid)?, counts.completed());
    sleep(MEASURED_TIME).await;
    let seconds = start.elapsed().as_secs_f64();
    let used = (processor_time(pid)? - used).as_secs_f64();
    let completed = (counts.completed() - completed) as f64;
    counts.stop.store(true, Ordering::Relaxed);
    for thread in threads {
        // A thread that panicked has printed why.
        let _ = thread.join();
    }
    deployment.stop().await?;
    print_figure("throughput", completed / seconds, "requests/s");
    print_figure("throughput_entry_processor", used / seconds, "cores");
    print_figure("throughput_per_core", completed / used, "requests/s");
    print_figure("throughput_failed", counts.failed.load(Ordering::Relaxed) as f64, "requests");
    Ok(())
}

impl Counts {
    fn completed(&self) -> u64 {
        self.completed.load(Ordering::Relaxed)
    }
}

/// Starts a thread that repeats calls until `counts.stop` is set.
fn spawn_clients(
    addr: SocketAddr,
    model: &'static str,
    counts: Arc<Counts>,
) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let client = CompletionClient::new(addr, model);
        let loops = (0..CALLS_PER_THREAD).map(|_| repeat_calls(&client, &counts));
        actix_rt::System::new().block_on(join_all(loops));
    })
}

async fn repeat_calls(client: &CompletionClient, counts: &Counts) {
    while !counts.stop.load(Ordering::Relaxed) {
        match client.complete("Digest of the night:", 1, || ()).await {
            Outcome::Completed(_) => counts.completed.fetch_add(1, Ordering::Relaxed),
            Outcome::Failed => counts.failed.fetch_add(1, Ordering::Relaxed),
        };
    }
}
