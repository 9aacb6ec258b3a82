//! A process is told to stop while its requests last longer than `drain` in its settings. It exits in time; requests may
//! be lost, but no response is wrong, no request runs twice, and a request refused as "not run" has not run.

use std::cell::Cell;
use std::time::{Duration, Instant};

use daisychute_standin::harness::{Process, wait_for};
use daisychute_testbed::{Deployment, DeploymentSpec, Fault, Load, TestbedError};

/// Number of clients, each with one request at a time.
const CLIENTS: usize = 16;
/// Responses to wait for before the stop, and again after it.
const RESPONSES: usize = 16;
/// How long a stop waits for requests in flight. Each request takes three times as long.
const DRAIN: Duration = Duration::from_secs(1);
/// How long a stop may take: the drain, and the time in which a balancer and clients take notice.
const MAX_STOP: Duration = Duration::from_secs(4);
/// How long the exit of a process is waited for.
const EXIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Line of the log that tells of the requests.
const STILL_OPEN: &str = "requests are still open at the end of the drain";

/// One test for each process that is stopped.
macro_rules! stops {
    ($($name:ident => $agent:expr;)*) => {$(
        #[test]
        fn $name() -> Result<(), TestbedError> {
            actix_rt::System::new().block_on(stop_with_long_requests(stringify!($name), $agent))
        }
    )*};
}

// Each guards against a stop that waits for ever, or that tells of what it cut as of something whole or not run.
stops! {
    entry_stops => None;
    agent_of_an_engine_stops => Some(0);
    agent_of_a_service_stops => Some(2);
}

/// The process that is stopped: the agent with this index, or an entry.
fn process(deployment: &mut Deployment, agent: Option<usize>) -> &mut Process {
    match agent {
        Some(index) => deployment.agents_mut()[index].process(),
        None => deployment.entry_mut(0).process(),
    }
}

/// Waits until an agent has just got a request, which then lasts longer than the drain.
async fn wait_for_request(deployment: &Deployment, agent: usize) -> Result<(), TestbedError> {
    let previous = Cell::new(u32::MAX);
    let has_risen = async || {
        let in_flight = deployment.agents()[agent].status().await.ok()?.in_flight;
        (in_flight > previous.replace(in_flight)).then_some(())
    };
    Ok(wait_for("a request has reached the agent", EXIT_TIMEOUT, has_risen).await?)
}

async fn stop_with_long_requests(name: &str, agent: Option<usize>) -> Result<(), TestbedError> {
    let spec = DeploymentSpec::rabat_sale().engines(2).services(2).entries(2);
    let spec = spec.engine_arg("--token-us=150000").service_arg("--service-ms=3000");
    let timing = format!("[timing]\ndrain = {}s\n", DRAIN.as_secs());
    let mut deployment = Deployment::start(spec.daemon_sections(timing)).await?;
    let load = Load::start(&deployment, CLIENTS);
    load.wait_responses(RESPONSES).await?;
    if let Some(agent) = agent {
        wait_for_request(&deployment, agent).await?;
    }
    process(&mut deployment, agent).terminate()?;
    let start = Instant::now();
    process(&mut deployment, agent).wait_exit(EXIT_TIMEOUT).await?;
    let stop = start.elapsed();
    let log = [process(&mut deployment, agent).stdout(), process(&mut deployment, agent).stderr()]
        .concat();
    load.wait_responses(RESPONSES).await?;
    let report = load.finish(&deployment).await?;
    println!(
        "{name}: stopped in {stop:?}, {} whole, {} not run, {} uncertain, {} cut",
        report.whole,
        report.not_run,
        report.count(Fault::Uncertain),
        report.count(Fault::Cut),
    );
    assert!(stop <= MAX_STOP, "stopped in {stop:?}");
    assert!(log.iter().any(|it| it.contains(STILL_OPEN)), "{}", log.join("\n"));
    for fault in [Fault::Wrong, Fault::Doubled, Fault::Missing, Fault::FalseNotRun] {
        assert_eq!(report.count(fault), 0, "{fault:?}: {:#?}", report.faults);
    }
    Ok(())
}
