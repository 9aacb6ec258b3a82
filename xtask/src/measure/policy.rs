//! `cargo xtask measure policy`: replays each trace under each policy.

use std::fs::{self, File};
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::thread;

use daisychute_load::replay::{PolicyName, Report, bound, replay};
use daisychute_load::trace::{Outcomes, Trace};

use crate::XtaskError;

/// Replays traces under routing policies.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Directory of the trace files.
    #[arg(long, default_value = "traces")]
    traces: PathBuf,
    /// Only traces whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Only this policy; may be given several times.
    #[arg(long)]
    policy: Vec<PolicyName>,
}

/// Result of one trace under one policy.
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
            let trace = read_trace(&path)?;
            self.measure_trace(&trace);
        }
        Ok(())
    }

    fn measure_trace(&self, trace: &Trace) {
        let name = &trace.header.trace;
        let bound = bound(trace);
        println!("{name:<26} {:<14} {bound:>7.4}", "clairvoyant");
        let rows = self.replay_policies(trace);
        rows.iter().for_each(|it| it.print(name));
        if rows.len() == PolicyName::ALL.len() {
            for (met, line) in verdicts(&trace.header.outcomes, bound, &rows) {
                println!("{name:<26} {} {line}", if met { "met " } else { "MISS" });
            }
        }
    }

    fn replay_policies(&self, trace: &Trace) -> Vec<Row> {
        let all = PolicyName::ALL.into_iter();
        let selected = all.filter(|it| self.policy.is_empty() || self.policy.contains(it));
        thread::scope(|scope| {
            let running: Vec<_> = selected
                .map(|policy| (policy, scope.spawn(move || replay(trace, policy))))
                .collect();
            running
                .into_iter()
                .filter_map(|(policy, it)| it.join().ok().map(|report| Row { policy, report }))
                .collect()
        })
    }
}

impl Row {
    fn print(&self, trace: &str) {
        let report = &self.report;
        println!(
            "{trace:<26} {:<14} {:>7.4} {:>12} {:>13}ms {:>16.1}ms {:>7.4} {:>11.4} {:>13.4} {:>6.3}",
            self.policy.as_str(),
            report.goodput,
            report.role_changes,
            report.p95_first_token.as_millis(),
            report.p95_between_tokens.as_secs_f64() * 1e3,
            report.refused,
            report.interactive,
            report.first_classes,
            report.cached,
        );
    }
}

/// For each outcome that the trace states: whether it was met, and the line to print.
fn verdicts(outcomes: &Outcomes, bound: f64, rows: &[Row]) -> Vec<(bool, String)> {
    let report_of = |policy| rows.iter().find(|it| it.policy == policy).map(|it| &it.report);
    let (Some(ours), Some(threshold)) =
        (report_of(PolicyName::Ours), report_of(PolicyName::Threshold))
    else {
        return Vec::new();
    };
    let mut verdicts = Vec::new();
    if let Some(minimum) = outcomes.goodput_of_bound {
        let ratio = ours.goodput / bound;
        verdicts.push((
            ratio >= minimum,
            format!("goodput {ratio:.4} of the bound, at least {minimum}"),
        ));
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
    if let Some(max_ratio) = outcomes.changes_of_threshold {
        let (own, other) = (ours.role_changes, threshold.role_changes);
        let met = f64::from(own) <= max_ratio * f64::from(other);
        verdicts.push((met, format!("{own} role changes, at most {max_ratio} of {other}")));
    }
    if let Some(minimum) = outcomes.goodput_of_threshold {
        let ratio = ours.goodput / threshold.goodput;
        let line = format!("goodput {ratio:.4} of the threshold baseline, at least {minimum}");
        verdicts.push((ratio >= minimum, line));
    }
    if let Some(minimum) = outcomes.first_classes {
        let share = ours.first_classes;
        verdicts.push((share >= minimum, format!("first classes {share:.4}, at least {minimum}")));
    }
    verdicts
}

/// Paths of the trace files in a directory whose names contain `only`, sorted.
pub(super) fn trace_files(directory: &Path, only: &str) -> Result<Vec<PathBuf>, XtaskError> {
    let read_error = |source| XtaskError::Read { path: directory.to_owned(), source };
    let mut paths = Vec::new();
    for entry in fs::read_dir(directory).map_err(read_error)? {
        let path = entry.map_err(read_error)?.path();
        let is_trace = path.extension().is_some_and(|it| it == "jsonl");
        let name = path.file_stem().and_then(|it| it.to_str()).unwrap_or_default();
        if is_trace && name.contains(only) {
            paths.push(path);
        }
    }
    paths.sort();
    Ok(paths)
}

/// Reads a trace file.
pub(super) fn read_trace(path: &Path) -> Result<Trace, XtaskError> {
    let file =
        File::open(path).map_err(|source| XtaskError::Read { path: path.to_owned(), source })?;
    Ok(Trace::read(BufReader::new(file))?)
}
