//! `cargo xtask measure sensitivity`: goodput with old load reports, lost cache events and many entries.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use daisychute_load::replay::{Options, PolicyName, Report, replay_with};
use daisychute_load::trace::Trace;

use super::policy::{read_trace, trace_files};
use crate::XtaskError;

/// Delays of load reports.
const REPORT_LAGS: [Duration; 3] = [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(5)];
/// Shares of cache events that are lost.
const LOST_EVENT_SHARES: [f64; 3] = [0.0, 0.1, 0.5];
const ENTRY_COUNTS: [usize; 3] = [3, 30, 380];

/// Replays traces with degraded information.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the trace files.
    #[arg(long, default_value = "traces")]
    traces: PathBuf,
    /// Only traces whose name contains this text.
    #[arg(long, default_value = "swing")]
    only: String,
}

impl Args {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        println!(
            "{:<20} {:>7} {:>11} {:>7} {:>6} {:>7} {:>12} {:>6}",
            "trace", "lag", "events_lost", "entries", "probes", "goodput", "role_changes", "cached"
        );
        for path in trace_files(&self.traces, &self.only)? {
            print_trace(&read_trace(&path)?);
        }
        Ok(())
    }
}

/// Options to replay with: one varied at a time; then the report lag without probes at the highest number of entries;
/// then the worst value of every option, with and without probes.
fn option_sets() -> Vec<Options> {
    let base = Options::default();
    let worst = base
        .report_lag(REPORT_LAGS[2])
        .cache_events_lost(LOST_EVENT_SHARES[2])
        .entries(ENTRY_COUNTS[2]);
    let lags = REPORT_LAGS.map(|it| base.report_lag(it));
    let lost = LOST_EVENT_SHARES.map(|it| base.cache_events_lost(it));
    let entries = ENTRY_COUNTS.map(|it| base.entries(it));
    let no_probes =
        REPORT_LAGS.map(|it| base.report_lag(it).entries(ENTRY_COUNTS[2]).probes(false));
    let mut cases = Vec::new();
    cases.extend(lags);
    cases.extend(lost);
    cases.extend(entries);
    cases.extend(no_probes);
    cases.extend([worst, worst.probes(false)]);
    cases
}

fn print_trace(trace: &Trace) {
    let reports: Vec<(Options, Report)> = thread::scope(|scope| {
        let run = |options| move || replay_with(trace, PolicyName::Ours, options);
        let running: Vec<_> =
            option_sets().into_iter().map(|it| (it, scope.spawn(run(it)))).collect();
        running.into_iter().filter_map(|(it, run)| Some((it, run.join().ok()?))).collect()
    });
    for (options, report) in reports {
        println!(
            "{:<20} {:>5}ms {:>11} {:>7} {:>6} {:>7.4} {:>12} {:>6.3}",
            trace.header.trace,
            options.report_lag.as_millis(),
            options.cache_events_lost,
            options.entries,
            if options.probes { "yes" } else { "no" },
            report.goodput,
            report.role_changes,
            report.cached,
        );
    }
}
