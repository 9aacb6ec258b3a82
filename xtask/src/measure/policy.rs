//! `cargo xtask measure policy`: replays each trace under each policy.

use std::fs::{self, File};
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::thread;

use daisychute_load::replay::{PolicyName, Report, bound, replay};
use daisychute_load::trace::{Outcomes, Trace};

use crate::XtaskError;

/// Which replays to run.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// The directory of the traces.
    #[arg(long, default_value = "traces")]
    traces: PathBuf,
    /// Only traces whose name holds this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Only these policies.
    #[arg(long)]
    policy: Vec<PolicyName>,
}

struct Row {
    policy: PolicyName,
    report: Report,
}

impl Args {
    pub(crate) fn run(&self) -> Result<(), XtaskError> {
        println!(
            "{:<26} {:<14} {:>7} {:>12} {:>15} {:>18} {:>7} {:>11} {:>13} {:>6}",
            "trace",
            "policy",
            "goodput",
            "role_changes",
            "p95_first_token",
            "p95_between_tokens",
            "refused",
            "interactive",
            "first_classes",
            "cached"
        );
        for path in trace_files(&self.traces, &self.only)? {
            let trace = read(&path)?;
            self.measure(&trace);
        }
        Ok(())
    }

    fn measure(&self, trace: &Trace) {
        let name = &trace.header.trace;
        let bound = bound(trace);
        println!("{name:<26} {:<14} {bound:>7.4}", "clairvoyant");
        let rows = self.rows(trace);
        rows.iter().for_each(|it| it.print(name));
        if rows.len() == PolicyName::ALL.len() {
            for (met, line) in verdicts(&trace.header.outcomes, bound, &rows) {
                println!("{name:<26} {} {line}", if met { "met " } else { "MISS" });
            }
        }
    }

    fn rows(&self, trace: &Trace) -> Vec<Row> {
        let all = PolicyName::ALL.into_iter();
        let wanted = all.filter(|it| self.policy.is_empty() || self.policy.contains(it));
        thread::scope(|scope| {
            let running: Vec<_> =
                wanted.map(|policy| (policy, scope.spawn(move || replay(trace, policy)))).collect();
            running
                .into_iter()
                .filter_map(|(policy, it)| it.join().ok().map(|report| Row { policy, report }))
                .collect()
        })
    }
}

impl Row {
    fn print(&self, trace: &str) {
        let it = &self.report;
        println!(
            "{trace:<26} {:<14} {:>7.4} {:>12} {:>13}ms {:>16.1}ms {:>7.4} {:>11.4} {:>13.4} {:>6.3}",
            self.policy.as_str(),
            it.goodput,
            it.role_changes,
            it.p95_first_token.as_millis(),
            it.p95_between_tokens.as_secs_f64() * 1e3,
            it.refused,
            it.interactive,
            it.first_classes,
            it.cached,
        );
    }
}

/// Each stated outcome, whether it was met, and the figures.
fn verdicts(outcomes: &Outcomes, bound: f64, rows: &[Row]) -> Vec<(bool, String)> {
    let of = |policy| rows.iter().find(|it| it.policy == policy).map(|it| &it.report);
    let (Some(ours), Some(threshold)) = (of(PolicyName::Ours), of(PolicyName::Threshold)) else {
        return Vec::new();
    };
    let mut verdicts = Vec::new();
    if let Some(least) = outcomes.goodput_of_bound {
        let part = ours.goodput / bound;
        verdicts.push((part >= least, format!("goodput {part:.4} of the bound, at least {least}")));
    }
    if outcomes.above_baselines == Some(true) {
        let baselines = rows.iter().filter(|it| it.policy != PolicyName::Ours);
        let best = baselines.max_by(|a, b| a.report.goodput.total_cmp(&b.report.goodput));
        if let Some(best) = best {
            let line = format!(
                "goodput {:.4}, above the best baseline {} {:.4}",
                ours.goodput,
                best.policy.as_str(),
                best.report.goodput
            );
            verdicts.push((ours.goodput > best.report.goodput, line));
        }
    }
    if let Some(most) = outcomes.changes_of_threshold {
        let (own, other) = (ours.role_changes, threshold.role_changes);
        let met = f64::from(own) <= most * f64::from(other);
        verdicts.push((met, format!("{own} role changes, at most {most} of {other}")));
    }
    if let Some(least) = outcomes.goodput_of_threshold {
        let part = ours.goodput / threshold.goodput;
        let line = format!("goodput {part:.4} of the threshold baseline, at least {least}");
        verdicts.push((part >= least, line));
    }
    if let Some(least) = outcomes.first_classes {
        let part = ours.first_classes;
        verdicts.push((part >= least, format!("first classes {part:.4}, at least {least}")));
    }
    verdicts
}

/// The traces of a directory by name.
pub(super) fn trace_files(directory: &Path, only: &str) -> Result<Vec<PathBuf>, XtaskError> {
    let unreadable = |source| XtaskError::Read { path: directory.to_owned(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(unreadable)? {
        let path = entry.map_err(unreadable)?.path();
        let is_trace = path.extension().is_some_and(|it| it == "jsonl");
        let name = path.file_stem().and_then(|it| it.to_str()).unwrap_or_default();
        if is_trace && name.contains(only) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads one trace.
pub(super) fn read(path: &Path) -> Result<Trace, XtaskError> {
    let file =
        File::open(path).map_err(|source| XtaskError::Read { path: path.to_owned(), source })?;
    Ok(Trace::read(BufReader::new(file))?)
}
