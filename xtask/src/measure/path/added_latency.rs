//! The latency that entry and agent add to a call of an engine.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::time::interval;
use daisychute_testbed::{Deployment, Plan};
use futures_util::future::join_all;
use hdrhistogram::Histogram;

use super::caller::{Caller, Outcome, Timing};
use super::{figure, target};
use crate::XtaskError;

/// Time between two calls; direct ones and those through the entry take turns.
const INTERVAL: Duration = Duration::from_micros(2_500);
/// 200 calls a second each way for 15 seconds.
const CALLS: u32 = 6_000;
/// Calls before the measured ones.
const WARM_UP: u32 = 400;
const TOKENS: u32 = 4;
/// The greatest latency that is told from greater ones, in microseconds.
const MOST_MICROS: u64 = 60_000_000;
/// Significant decimal digits of a latency.
const DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Targets in milliseconds.
const MEDIAN_BELOW: f64 = 1.0;
const P99_BELOW: f64 = 5.0;

/// Latencies of one way, in microseconds.
struct Way {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    failed: u64,
}

impl Way {
    fn new() -> Result<Self, XtaskError> {
        let latencies = || Histogram::new_with_bounds(1, MOST_MICROS, DIGITS);
        Ok(Self { first: latencies()?, whole: latencies()?, failed: 0 })
    }

    fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(Timing { first, whole }) => {
                self.first.saturating_record(micros(first));
                self.whole.saturating_record(micros(whole));
            }
            Outcome::Failed => self.failed += 1,
        }
    }
}

pub(super) async fn run() -> Result<(), XtaskError> {
    let fast = ["--token-us", "0", "--prefill-us", "0", "--sequence-us", "0"];
    let plan = fast.into_iter().fold(Plan::rabat_sale().services(0), Plan::engine_arg);
    let mut deployment = Deployment::start(plan).await?;
    let model = deployment.model();
    let through = Caller::new(deployment.entry(0).client_addr(), model);
    let direct = Caller::new(engine(&deployment), model);
    alternate(&direct, &through, WARM_UP).await?;
    let [direct, through] = alternate(&direct, &through, CALLS).await?;
    deployment.stop().await?;
    print(&direct, &through);
    Ok(())
}

fn engine(deployment: &Deployment) -> SocketAddr {
    deployment.agents()[0].endpoint_addr()
}

async fn alternate(direct: &Caller, through: &Caller, calls: u32) -> Result<[Way; 2], XtaskError> {
    let ways = Rc::new(RefCell::new([Way::new()?, Way::new()?]));
    let mut ticks = interval(INTERVAL);
    let mut open = Vec::new();
    for call in 0..calls {
        ticks.tick().await;
        let way = (call % 2) as usize;
        let caller = if way == 0 { direct.clone() } else { through.clone() };
        let ways = ways.clone();
        open.push(actix_rt::spawn(async move {
            let outcome = caller.complete("Digest of the night:", TOKENS, || ()).await;
            ways.borrow_mut()[way].record(outcome);
        }));
    }
    join_all(open).await;
    Ok(ways.replace([Way::new()?, Way::new()?]))
}

fn print(direct: &Way, through: &Way) {
    print_way("direct", direct);
    print_way("through", through);
    let median = added(&direct.whole, &through.whole, 0.5);
    let p99 = added(&direct.whole, &through.whole, 0.99);
    figure("added_first_token_p50", added(&direct.first, &through.first, 0.5), "ms");
    figure("added_first_token_p99", added(&direct.first, &through.first, 0.99), "ms");
    figure("added_latency_p50", median, "ms");
    target("added_latency_p50", median, MEDIAN_BELOW);
    figure("added_latency_p99", p99, "ms");
    target("added_latency_p99", p99, P99_BELOW);
}

fn print_way(name: &str, way: &Way) {
    figure(&format!("{name}_latency_p50"), quantile(&way.whole, 0.5), "ms");
    figure(&format!("{name}_latency_p99"), quantile(&way.whole, 0.99), "ms");
    figure(&format!("{name}_answered"), way.whole.len() as f64, "requests");
    figure(&format!("{name}_failed"), way.failed as f64, "requests");
}

fn added(direct: &Histogram<u64>, through: &Histogram<u64>, at: f64) -> f64 {
    quantile(through, at) - quantile(direct, at)
}

fn quantile(latencies: &Histogram<u64>, at: f64) -> f64 {
    latencies.value_at_quantile(at) as f64 / MICROS_PER_MILLI
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
