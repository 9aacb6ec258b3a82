//! `fronts`: the configuration in force and the requests of fronts, read from their metrics.

use std::net::SocketAddr;

use prometheus_parse::{Sample, Scrape, Value};
use serde::Serialize;

use crate::admin;
use crate::context::Context;
use crate::error::{CliError, Exit, FrontError};
use crate::output::CommandOutput;
use crate::table::{or_dash, render, table};

/// State of one front. A gauge is `None` if the metrics lack it; counters count from the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
struct FrontState {
    /// Version of the configuration in force; `None` before the first.
    configuration: Option<u64>,
    /// Number of fronts that share the load, this one included.
    fronts: Option<u64>,
    endpoints: Option<u64>,
    /// Requests in flight.
    open: Option<u64>,
    /// Requests that got a complete response, including relayed error responses of endpoints.
    answered: u64,
    refused: u64,
    /// Requests that failed, or whose response was truncated.
    failed: u64,
    /// Seconds since the last response of the directory.
    directory_age_s: Option<f64>,
    /// Prompt parts whose requests are refused because engines ended under them.
    quarantined_parts: Option<u64>,
    /// Requests that are refused when they come again, because endpoints ended under them.
    quarantined_requests: Option<u64>,
    /// Endpoints that name a limit on the rate of requests.
    limited_endpoints: Option<u64>,
}

impl From<&Scrape> for FrontState {
    fn from(scrape: &Scrape) -> Self {
        let gauge =
            |name: &str| scrape.samples.iter().find(|it| it.metric == name).map(sample_value);
        let integer = |name: &str| gauge(name).map(|it| it as u64);
        let count = |outcomes: &[&str]| {
            let matches = |it: &&Sample| {
                it.metric == "daisychute_front_requests_total"
                    && it.labels.get("outcome").is_some_and(|it| outcomes.contains(&it))
            };
            scrape.samples.iter().filter(matches).map(sample_value).sum::<f64>() as u64
        };
        Self {
            configuration: integer("daisychute_configuration_version"),
            fronts: integer("daisychute_fronts"),
            endpoints: integer("daisychute_endpoints"),
            open: integer("daisychute_open_requests"),
            answered: count(&["answered", "relayed"]),
            refused: count(&["refused"]),
            failed: count(&["failed", "cut"]),
            directory_age_s: gauge("daisychute_directory_age_seconds"),
            quarantined_parts: integer("daisychute_quarantined_parts"),
            quarantined_requests: integer("daisychute_quarantined_requests"),
            limited_endpoints: integer("daisychute_limited_endpoints"),
        }
    }
}

impl FrontState {
    /// Number of quarantines, of prompt parts and of requests; `None` if the front doesn't say.
    fn quarantined(&self) -> Option<u64> {
        let parts = self.quarantined_parts?;
        Some(parts + self.quarantined_requests.unwrap_or_default())
    }
}

fn sample_value(sample: &Sample) -> f64 {
    match sample.value {
        Value::Counter(it) | Value::Gauge(it) | Value::Untyped(it) => it,
        Value::Histogram(_) | Value::Summary(_) => 0.0,
    }
}

/// Result of reading the metrics of one front.
#[derive(Debug, Serialize)]
struct FrontReport {
    address: SocketAddr,
    /// Whether its configuration is older than the newest among the queried fronts.
    behind: bool,
    state: Option<FrontState>,
    /// Why the metrics could not be read; `None` if they were.
    error: Option<String>,
}

#[derive(Debug, Serialize)]
struct Fronts {
    fronts: Vec<FrontReport>,
}

impl Fronts {
    fn new(mut fronts: Vec<FrontReport>) -> Self {
        let version = |it: &FrontReport| it.state.as_ref().and_then(|it| it.configuration);
        let newest = fronts.iter().map(version).max().flatten();
        for front in &mut fronts {
            front.behind = front.state.is_some() && version(front) < newest;
        }
        Self { fronts }
    }
}

impl CommandOutput for Fronts {
    fn text(&self, width: u16) -> String {
        let header = [
            "FRONT",
            "CONFIG",
            "PEERS",
            "ENDPOINTS",
            "OPEN",
            "ANSWERED",
            "REFUSED",
            "FAILED",
            "STORE",
            "QUARANTINED",
            "LIMITED",
        ];
        let mut table = table(width, &header);
        let mut notes = String::new();
        for FrontReport { address, behind, state, error } in &self.fronts {
            if let Some(error) = error {
                notes.push_str(&format!("{address}: {error}\n"));
                continue;
            }
            let Some(state) = state else { continue };
            let config = or_dash(state.configuration) + if *behind { " (behind)" } else { "" };
            table.add_row([
                address.to_string(),
                config,
                or_dash(state.fronts.map(|it| it.saturating_sub(1))),
                or_dash(state.endpoints),
                or_dash(state.open),
                state.answered.to_string(),
                state.refused.to_string(),
                state.failed.to_string(),
                or_dash(state.directory_age_s.map(|it| format!("{it:.1} s ago"))),
                or_dash(state.quarantined()),
                or_dash(state.limited_endpoints),
            ]);
        }
        render(&table) + &notes
    }
}

/// Reads the metrics of each front. A front that does not respond is shown with its error; fails if none responds.
pub(super) async fn fronts(cx: &Context, addresses: &[SocketAddr]) -> Result<Exit, CliError> {
    let mut reports = Vec::new();
    let mut errors = Vec::new();
    for address in addresses {
        let (address, behind) = (*address, false);
        let (state, error) = match admin::get_metrics(address).await {
            Ok(scrape) => (Some(FrontState::from(&scrape)), None),
            Err(error) => {
                let shown = error.to_string();
                errors.push(FrontError { address, source: error });
                (None, Some(shown))
            }
        };
        reports.push(FrontReport { address, behind, state, error });
    }
    if reports.len() == errors.len() {
        return Err(CliError::NoFront { errors });
    }
    cx.show(&Fronts::new(reports))?;
    Ok(Exit::Done)
}
