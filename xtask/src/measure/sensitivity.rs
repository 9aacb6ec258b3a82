//! `cargo xtask measure sensitivity`: how goodput depends on old reports, lost cache events and many entries.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use daisychute_load::replay::{Options, PolicyName, Report, replay_with};
use daisychute_load::trace::Trace;

use super::policy::{read, trace_files};
use crate::XtaskError;

const LAGS: [Duration; 3] = [Duration::ZERO, Duration::from_secs(1), Duration::from_secs(5)];
const LOST: [f64; 3] = [0.0, 0.1, 0.5];
const ENTRIES: [usize; 3] = [3, 30, 380];

/// Which replays to run.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The directory of the traces.
    #[arg(long, default_value = "traces")]
    traces: PathBuf,
    /// Only traces whose name holds this text.
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
            print_trace(&read(&path)?);
        }
        Ok(())
    }
}

/// Varies one thing at a time, then the worst of all with and without probes.
fn cases() -> Vec<Options> {
    let base = Options::default();
    let worst = base.report_lag(LAGS[2]).cache_events_lost(LOST[2]).entries(ENTRIES[2]);
    let lags = LAGS.map(|it| base.report_lag(it));
    let lost = LOST.map(|it| base.cache_events_lost(it));
    let entries = ENTRIES.map(|it| base.entries(it));
    let no_probes = LAGS.map(|it| base.report_lag(it).entries(ENTRIES[2]).probes(false));
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
        let running: Vec<_> = cases().into_iter().map(|it| (it, scope.spawn(run(it)))).collect();
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
