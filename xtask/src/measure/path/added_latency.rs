//! Latency that entry and agent add to a call to an engine.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::interval;
use daisychute_testbed::{Deployment, DeploymentSpec};
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use super::completion_client::{CompletionClient, Outcome, Timing};
use super::{print_figure, print_verdict};
use crate::XtaskError;

/// Time between two calls. Direct calls and calls through the entry alternate.
const INTERVAL: Duration = Duration::from_micros(2_500);
/// 200 calls per second on each path for 15 seconds.
const CALLS: u32 = 6_000;
/// Number of calls before the measured ones.
const WARM_UP_CALLS: u32 = 400;
/// Length of a completion.
const TOKENS: u32 = 4;
/// Longest latency that the histograms hold; a longer one is recorded as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Precision of the histograms in significant decimal digits.
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// The added latency meets its targets if it is below these.
const MEDIAN_TARGET_MS: f64 = 1.0;
const P99_TARGET_MS: f64 = 5.0;

/// Latencies of calls on one path, in microseconds, and the number of failed calls.
struct PathLatencies {
    first_byte: Histogram<u64>,
    total: Histogram<u64>,
    failed: u64,
}

impl PathLatencies {
    fn new() -> Result<Self, XtaskError> {
        let latencies = || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, DIGITS);
        Ok(Self { first_byte: latencies()?, total: latencies()?, failed: 0 })
    }

    fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Completed(Timing { first_byte, total }) => {
                self.first_byte.saturating_record(micros(first_byte));
                self.total.saturating_record(micros(total));
            }
            Outcome::Failed => self.failed += 1,
        }
    }
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let step_times = ["--token-us", "0", "--prefill-us", "0", "--sequence-us", "0"];
    let spec = step_times
        .into_iter()
        .fold(DeploymentSpec::rabat_sale().services(0), DeploymentSpec::engine_arg);
    let mut deployment = Deployment::start(spec).await?;
    let model = deployment.model();
    let through = CompletionClient::new(deployment.entry(0).client_addr(), model);
    let direct = CompletionClient::new(engine_address(&deployment), model);
    call_alternately(&direct, &through, WARM_UP_CALLS).await?;
    let [direct, through] = call_alternately(&direct, &through, CALLS).await?;
    deployment.stop().await?;
    print_figures(&direct, &through);
    Ok(())
}

fn engine_address(deployment: &Deployment) -> SocketAddr {
    deployment.agents()[0].endpoint_addr()
}

/// Calls both paths in turn. Returns the latencies of the direct path and of that through the entry.
async fn call_alternately(
    direct: &CompletionClient,
    through: &CompletionClient,
    calls: u32,
) -> Result<[PathLatencies; 2], XtaskError> {
    let latencies = Rc::new(RefCell::new([PathLatencies::new()?, PathLatencies::new()?]));
    let mut ticks = interval(INTERVAL);
    let mut calls_in_flight = Vec::new();
    for call in 0..calls {
        ticks.tick().await;
        let path = (call % 2) as usize;
        let client = if path == 0 { direct.clone() } else { through.clone() };
        let latencies = latencies.clone();
        calls_in_flight.push(actix_rt::spawn(async move {
            let outcome = client.complete("Digest of the night:", TOKENS, || ()).await;
            latencies.borrow_mut()[path].record(outcome);
        }));
    }
    join_all(calls_in_flight).await;
    Ok(latencies.replace([PathLatencies::new()?, PathLatencies::new()?]))
}

fn print_figures(direct: &PathLatencies, through: &PathLatencies) {
    print_path("direct", direct);
    print_path("through", through);
    let median = added(&direct.total, &through.total, 0.5);
    let p99 = added(&direct.total, &through.total, 0.99);
    print_figure(
        "added_first_token_p50",
        added(&direct.first_byte, &through.first_byte, 0.5),
        "ms",
    );
    print_figure(
        "added_first_token_p99",
        added(&direct.first_byte, &through.first_byte, 0.99),
        "ms",
    );
    print_figure("added_latency_p50", median, "ms");
    print_verdict("added_latency_p50", median, MEDIAN_TARGET_MS);
    print_figure("added_latency_p99", p99, "ms");
    print_verdict("added_latency_p99", p99, P99_TARGET_MS);
}

fn print_path(name: &str, latencies: &PathLatencies) {
    print_figure(&format!("{name}_latency_p50"), quantile(&latencies.total, 0.5), "ms");
    print_figure(&format!("{name}_latency_p99"), quantile(&latencies.total, 0.99), "ms");
    print_figure(&format!("{name}_answered"), latencies.total.len() as f64, "requests");
    print_figure(&format!("{name}_failed"), latencies.failed as f64, "requests");
}

/// Difference of a quantile between the two paths, in milliseconds.
fn added(direct: &Histogram<u64>, through: &Histogram<u64>, at: f64) -> f64 {
    quantile(through, at) - quantile(direct, at)
}

/// A quantile in milliseconds.
fn quantile(latencies: &Histogram<u64>, at: f64) -> f64 {
    latencies.value_at_quantile(at) as f64 / MICROS_PER_MILLI
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
